package main

import (
	"fmt"
	"time"
)

func init() { cases["public"] = public }

// public makes a route public whose clients go on sending their keys.
func public(d *drill) (broken bool, err error) {
	const timeout = 4 * time.Second
	d.store.putConfig(7, []string{"caja44a"}, newRoute("/status/", "safe", "caja44a", timeout, nil))
	for i := range 2 {
		if _, err := d.startEngine(i, fmt.Sprintf("i-7f3a91c%d", i), "caja44a"); err != nil {
			return false, err
		}
	}
	nodes, err := d.startNodes(3)
	if err != nil {
		return false, err
	}
	if d.trouble {
		d.store.putConfig(9, []string{"caja44a"}, newRoute("/status/", "safe", "caja44a", timeout, route{"public": true}))
		d.note("the store has accepted version 9: /status/ is public")
		time.Sleep(2 * configApply)
	}
	wrong := 0
	for _, n := range nodes {
		for range 5 {
			c, err := dial(n.frontend)
			if err != nil {
				return false, err
			}
			r := request{method: "GET", host: testHost, path: "/status/20", id: newID(), deadline: timeout, within: timeout + time.Second}
			a := c.exchange(r)
			c.close()
			d.note("client with the key of %s has for %s: %v", tenant, r.id, a)
			if a.status != 200 || !a.complete {
				return false, errMissing
			}
			d.mu.Lock()
			tenants := d.tenants[r.id]
			d.mu.Unlock()
			for _, got := range tenants {
				if got != tenant {
					wrong++
					d.note("BROKEN: an engine ran %s with X-Tenant %q", r.id, got)
				}
			}
		}
	}
	d.note("%d requests ran without the tenant that holds their key", wrong)
	return wrong > 0, nil
}
