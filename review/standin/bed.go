package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loopback"
)

// bed is a small deployment: six nodes in three zones, the platform's store and the servers that a case starts.
type bed struct {
	record *record
	// hasTrouble is set if the case plays its disruption.
	hasTrouble bool
	dir        string
	store      *store
	nodes      []*node
	servers    []*server
}

// zones are those of the machines of a small deployment.
var zones = []string{"maipo", "maipo", "mapocho", "mapocho", "mapocho", "quilicura"}

func newBed(rec *record, hasTrouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "lacewingdrift-review-")
	if err != nil {
		return nil, err
	}
	b := &bed{record: rec, hasTrouble: hasTrouble, dir: dir}
	b.store, err = startStore(loopback.Address())
	if err != nil {
		b.close()
		return nil, err
	}
	var ips []string
	for range zones {
		ips = append(ips, loopback.IP())
	}
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ips[i], zone: zone}
		n.log, err = os.Create(filepath.Join(dir, n.name+".log"))
		if err == nil {
			err = n.writeSettings(dir, b.store.address, ips[:3])
		}
		if err != nil {
			b.close()
			return nil, err
		}
		b.nodes = append(b.nodes, n)
	}
	rec.add("trouble: %t", hasTrouble)
	return b, nil
}

// config writes a configuration with the routes and services of a case.
func (b *bed) config(version int, routes, services []map[string]any) error {
	return b.store.put("config", "main", map[string]any{
		"version": version, "routeList": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// addServer starts a server and writes its entry.
func (b *bed) addServer(s *server) error {
	s.store, s.record, s.address = b.store, b.record, loopback.Address()
	b.servers = append(b.servers, s)
	return s.start()
}

// startNodes starts all nodes and waits until they are ready and know of each other.
func (b *bed) startNodes() error {
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range b.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(b.nodes) {
			b.record.add("all %d nodes are ready", ready)
			return nil
		}
	}
	return errors.New("nodes did not become ready")
}

// close ends all processes that the case has started.
func (b *bed) close() {
	for _, n := range b.nodes {
		n.end()
		_ = n.log.Close()
	}
	for _, s := range b.servers {
		s.close()
	}
	if b.store != nil {
		b.store.close()
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs are in", b.dir)
		return
	}
	_ = os.RemoveAll(b.dir)
}
