package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["moved"] = moved }

const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	outer       = 5 * time.Second
)

// moved changes the settings of all nodes: the store gets another address, at which it listens from before the change on. The former
// address is closed once the change has had time to be applied.
func moved(d *drill) (broken bool, err error) {
	const timeout = 4 * time.Second
	first := []route{newRoute("/status/", "safe", "caja44a", timeout, nil), newRoute("/old/", "safe", "caja44a", timeout, nil)}
	d.store.putConfig(7, []string{"caja44a"}, first...)
	for i := range 2 {
		if _, err := d.startEngine(i, fmt.Sprintf("i-7f3a91c%d", i), "caja44a"); err != nil {
			return false, err
		}
	}
	nodes, err := d.startNodes(3)
	if err != nil {
		return false, err
	}
	ask := func(n *node, path string) reply {
		c, err := dial(n.frontend)
		if err != nil {
			return reply{err: err}
		}
		defer c.close()
		r := request{method: "GET", host: testHost, path: path, id: newID(), deadline: timeout, within: timeout + time.Second}
		d.note("client sends %s %s to %s", r.id, r.path, n.name)
		a := c.exchange(r)
		d.note("client has for %s: %v", r.id, a)
		return a
	}
	for _, n := range nodes {
		if a := ask(n, "/old/10"); a.status != 200 {
			return false, errMissing
		}
	}
	if d.trouble {
		address := d.prefix + "3:8624"
		if err := d.store.listen(address); err != nil {
			return false, err
		}
		d.note("the store also listens at %s", address)
		for _, n := range nodes {
			text, err := os.ReadFile(n.settings)
			if err != nil {
				return false, err
			}
			changed := strings.ReplaceAll(string(text), d.store.address, address)
			if err := os.WriteFile(n.settings+".new", []byte(changed), 0o600); err != nil {
				return false, err
			}
			if err := os.Rename(n.settings+".new", n.settings); err != nil {
				return false, err
			}
			n.signal(syscall.SIGHUP)
			d.note("the settings of %s name %s; SIGHUP", n.name, address)
		}
		time.Sleep(2 * configApply)
		d.note("the store no longer listens at %s", d.store.address)
		d.store.leave()
	}
	time.Sleep(contact + time.Second)
	d.store.putConfig(9, []string{"caja44a"}, newRoute("/status/", "safe", "caja44a", timeout, nil), newRoute("/new/", "safe", "caja44a", timeout, nil))
	d.note("the store has accepted version 9: /old/ is dropped, /new/ is added")
	time.Sleep(configApply + outer + time.Second)
	stale := 0
	for range 4 {
		for _, n := range nodes {
			if a := ask(n, "/old/10"); a.status == 200 {
				stale++
				d.note("BROKEN: %s ran a request of a dropped route", n.name)
			}
			if a := ask(n, "/new/10"); a.status == 404 {
				stale++
				d.note("BROKEN: %s refused a request of a route that is there", n.name)
			}
		}
	}
	d.note("%d requests were handled as only an older version allows", stale)
	return stale > 0, nil
}
