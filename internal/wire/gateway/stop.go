package gateway

import (
	"net/http"
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Drain makes the gateway refuse streams that could not end before a planned stop does.
func (g *Gateway) Drain(now time.Time, grace time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.drainDeadline = now.Add(grace)
}

// streamCutoff is how long before the end of a planned stop the gateway stops accepting streams.
const streamCutoff = 4 * time.Second

// outlastsDrain reports whether a request would still run when a planned stop ends.
func (g *Gateway) outlastsDrain(rs *requestState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining && rs.route.RetryPolicy == route.Streaming && rs.Received.Add(rs.route.Timeout).After(g.drainDeadline) &&
		g.drainDeadline.Sub(rs.Received) < streamCutoff
}

// begin records that a request is being served, and what its line in the log says if the node is stopping.
func (g *Gateway) begin(r *http.Request, rs *requestState) {
	isKept := countRequest(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[rs] = true
	if g.draining {
		rs.log["stop_left_ms"] = g.drainDeadline.Sub(rs.Received).Milliseconds()
		rs.log["kept"] = isKept
	}
}

// end records that a request is no longer served. A caller whose connection was closed at the end of a planned stop has not left.
func (g *Gateway) end(rs *requestState, o *outcome) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, rs)
	if o.kind == cancelled && g.draining && !now.Before(g.drainDeadline) {
		o.cause, o.reason = causeStopping, "node stopped"
	}
}

// Running returns the IDs of the requests that are being served.
func (g *Gateway) Running() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for rs := range g.running {
		ids = append(ids, rs.ID)
	}
	sort.Strings(ids)
	return ids
}
