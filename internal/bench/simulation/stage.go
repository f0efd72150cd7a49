package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

const (
	// waitingCalls is how many calls a stage target lets wait.
	waitingCalls = 2
	// hop is the way between two machines and back.
	hop = 3 * ms
	// freeEvery is how long results that are given up are gathered into one call.
	freeEvery = 20 * ms
	// fetched is how long after the start of a call its inputs may be given up.
	fetched = 40 * ms
)

// maker is an emulated stage target: it makes one call at a time.
type maker struct {
	registry.Target
	freeAt  time.Time
	waiting int
	used    int64
	held    map[string]int64
	made    int
}

// took is how long a call works; piece factors and slowness are the emulation's own and unknown to the decisions.
func (w *world) took(m *maker, terms route.BatchProfile, pieces []batch.Piece) time.Duration {
	work := terms.CallTime
	for _, p := range pieces {
		work += time.Duration(float64(terms.PieceTime) * w.requests[p.Request].kind.CostFactor[p.Stage])
	}
	if s := w.pattern.Slowdown; s != nil && s.Service == m.Service && m.slow(s.Targets) {
		if since := w.clock.now.Sub(start); since >= s.Start && since < s.Start+s.Duration {
			work = time.Duration(float64(work) * s.Factor)
		}
	}
	return work
}

// slow tells whether a target is among the first n of its service.
func (m *maker) slow(n int) bool { return m.Slots <= n }

// work runs a call and gives its results to done, or false if the target has no place for the call.
func (w *world) work(m *maker, terms route.BatchProfile, pieces []batch.Piece, done func(batch.Reply, bool)) {
	now := w.clock.now
	if m.waiting > waitingCalls {
		w.clock.after(hop, func() { done(batch.Reply{}, false) })
		return
	}
	m.waiting++
	begin := now.Add(hop / 2)
	if m.freeAt.After(begin) {
		begin = m.freeAt
	}
	took := w.took(m, terms, pieces)
	m.freeAt = begin.Add(took)
	results := make([]batch.Result, len(pieces))
	w.clock.at(begin, func() {
		for i, p := range pieces {
			w.cross(m.Datacentre, p.Inputs)
			if !w.present(p.Inputs) {
				results[i].Reason = batch.InputLost
				continue
			}
			if m.used+p.ResultBytes > terms.ResultSpace {
				results[i].Reason = batch.NoSpace
				continue
			}
			results[i] = batch.Result{Handle: w.handle(m, p.ResultBytes), Datacentre: m.Datacentre}
		}
	})
	w.clock.at(begin.Add(took), func() {
		m.waiting--
		w.spend(pieces, took)
		for _, r := range results {
			if r.Reason == batch.Completed {
				handle := r.Handle
				w.clock.after(terms.ResultTTL, func() { m.drop(handle) })
			}
		}
		others := m.waiting
		w.clock.after(hop/2, func() { done(batch.Reply{Results: results, Waiting: others}, true) })
	})
}

// handle makes a result.
func (w *world) handle(m *maker, bytes int64) string {
	m.made++
	h := m.Address + "/" + itoa(m.made)
	m.held[h] = bytes
	m.used += bytes
	return h
}

func (m *maker) drop(handle string) {
	if bytes, ok := m.held[handle]; ok {
		delete(m.held, handle)
		m.used -= bytes
	}
}

// cross counts the bytes of results that a target in a data centre fetches from others.
func (w *world) cross(datacentre string, handles []string) {
	for _, h := range handles {
		if m := w.makers[batch.HandleAddress(h)]; m.Datacentre != datacentre {
			w.report.CrossDatacentreBytes += m.held[h]
		}
	}
}

// present tells whether all results are there still.
func (w *world) present(handles []string) bool {
	for _, h := range handles {
		m := w.makers[batch.HandleAddress(h)]
		if _, ok := m.held[h]; !ok {
			return false
		}
	}
	return true
}

// spend notes the time of a call for the requests in it, by their pieces.
func (w *world) spend(pieces []batch.Piece, took time.Duration) {
	w.report.StageSeconds += took.Seconds()
	for _, p := range pieces {
		w.requests[p.Request].spent += took / time.Duration(len(pieces))
	}
}
