package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loopback"
)

// TestSecondSignalDuringStop covers supervisors that send SIGTERM several times, and an operator who interrupts the stop.
func TestSecondSignalDuringStop(t *testing.T) {
	t.Parallel()
	// limit is half of the time that the node still serves callers after its first signal.
	const lag, limit, timeout = 2 * time.Second, time.Second, 8 * time.Second
	dir := t.TempDir()
	program := filepath.Join(dir, "lacewingdrift")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, tt := range []struct {
		name          string
		first, second syscall.Signal
		isCut         bool
	}{
		{name: "SIGTERM twice", first: syscall.SIGTERM, second: syscall.SIGTERM},
		{name: "SIGINT, then SIGTERM", first: syscall.SIGINT, second: syscall.SIGTERM},
		{name: "SIGTERM, then SIGINT", first: syscall.SIGTERM, second: syscall.SIGINT, isCut: true},
		{name: "SIGINT twice", first: syscall.SIGINT, second: syscall.SIGINT, isCut: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address := loopback.Address()
			file := filepath.Join(t.TempDir(), "node.toml")
			text := fmt.Sprintf("name = \"maipo-1\"\ndatacentre = \"maipo\"\n[caller]\naddress = %q\n[peer]\naddress = \"127.0.0.1:0\"\n[platform]\nurl = \"http://127.0.0.1:1\"\n[timing]\nlag = %q\n", address, lag)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(program, "serve", "--settings", file)
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			kill := time.AfterFunc(timeout, func() { _ = cmd.Process.Kill() })
			defer kill.Stop()
			for !answers(address) {
				time.Sleep(20 * time.Millisecond)
			}
			began := time.Now()
			for _, s := range []syscall.Signal{tt.first, tt.second} {
				if err := cmd.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if !tt.isCut && !answers(address) {
				t.Error("got no answer after the second signal, want the node to serve callers")
			}
			err := cmd.Wait()
			if took := time.Since(began); err != nil || (took < limit) != tt.isCut {
				t.Errorf("got the end %s after the first signal (%v), want it within %s: %v", took, err, limit, tt.isCut)
			}
		})
	}
}

func answers(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
