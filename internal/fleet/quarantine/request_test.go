package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// request returns the trait of a request as a whole, by its name.
func request(id string) []Trait { return []Trait{{Service: "svc", Kind: Content, ID: id}} }

// plain returns a request without a prompt.
func plain(head string) Request { return Request{Service: "svc", Head: head} }

// crash is one target that crashed under some requests, named by their content, or by content and prompt.
type crash struct {
	at       time.Duration
	requests []string
	known    bool
}

// boardAfter returns a board that learned of crashes, each from a node of its own.
func boardAfter(crashes ...crash) Board {
	var b Board
	for i, c := range crashes {
		now := start.Add(c.at)
		var r Report
		for _, id := range c.requests {
			for _, t := range request(id) {
				r = r.WithStrike(Strike{Trait: t, Run: runOf(i), At: now, Known: c.known})
			}
		}
		b = b.With(now, fmt.Sprintf("n-%d", i), r)
	}
	return b
}

func decide(b Board, now time.Time, traits []Trait) Decision {
	return newView(now, b).decide(now, traits)
}

// TestRequestsThatCrashTargets covers one request that crashes each target that runs it, at several nodes and milliseconds apart, beside
// others that were at the same targets, and targets that are lost for another reason.
func TestRequestsThatCrashTargets(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		crashes []crash
		// rejected and alone are the requests that are rejected, and sent alone; all others of sent are sent.
		rejected, alone, sent []string
	}{
		{name: "one crash", crashes: []crash{{requests: []string{"bad", "v1"}}}, alone: []string{"bad", "v1"}, sent: []string{"v2"}},
		{name: "two crashes, nothing else there", crashes: []crash{{requests: []string{"bad"}}, {at: 60 * ms, requests: []string{"bad"}}}, rejected: []string{"bad"}},
		{name: "two crashes with another request at one", crashes: []crash{{requests: []string{"bad", "v1"}}, {at: 60 * ms, requests: []string{"bad"}}}, rejected: []string{"bad"}, alone: []string{"v1"}},
		{name: "two crashes with other requests each", crashes: []crash{{requests: []string{"bad", "v1"}}, {at: 60 * ms, requests: []string{"bad", "v2"}}}, alone: []string{"bad", "v1", "v2"}},
		{name: "two crashes with the same two requests", crashes: []crash{{requests: []string{"bad", "v1"}}, {at: 60 * ms, requests: []string{"bad", "v1"}}}, alone: []string{"bad", "v1"}},
		{
			name:     "three crashes in a quarter of a second",
			crashes:  []crash{{requests: []string{"bad", "v1"}}, {at: 60 * ms, requests: []string{"bad", "v1"}}, {at: 120 * ms, requests: []string{"bad", "v2"}}},
			rejected: []string{"bad"}, alone: []string{"v1", "v2"},
		},
		{name: "two targets lost together with a third", crashes: []crash{{requests: []string{"bad"}}, {at: 20 * ms, requests: []string{"bad"}}, {at: 30 * ms, requests: []string{"v1"}}}, alone: []string{"bad", "v1"}},
		{
			name:    "a popular request at ten targets lost together",
			crashes: slices.Repeat([]crash{{requests: []string{"poll"}, known: true}}, 10),
			sent:    []string{"poll"},
		},
		{
			name:     "a request that was answered before crashes targets from now on",
			crashes:  []crash{{requests: []string{"bad"}, known: true}, {at: 60 * ms, requests: []string{"bad"}}, {at: 120 * ms, requests: []string{"bad"}}, {at: 180 * ms, requests: []string{"bad"}}},
			rejected: []string{"bad"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := boardAfter(tt.crashes...)
			now := start.Add(time.Second)
			check := func(ids []string, want Decision) {
				for _, id := range ids {
					got := decide(b, now, request(id))
					if fmt.Sprintf("%T", got) != fmt.Sprintf("%T", want) {
						t.Errorf("got %T for %s, want %T", got, id, want)
					}
				}
			}
			check(tt.rejected, Reject{})
			check(tt.alone, SendAlone{})
			check(tt.sent, Send{})
			if got := decide(b, now, []Trait{{Service: "other", Kind: Content, ID: "bad"}}); got != (Send{}) {
				t.Errorf("got %T at another service, want it sent", got)
			}
		})
	}
}

// TestRequestIsNamedByItsContent covers what tells requests apart.
func TestRequestIsNamedByItsContent(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	base := Request{Service: "svc", Head: "head", Body: []byte("body"), Prompt: "a,b"}
	tests := []struct {
		name    string
		request Request
		want    bool
	}{
		{name: "the same", request: base, want: true},
		{name: "another head", request: Request{Service: "svc", Head: "other", Body: base.Body}},
		{name: "another body", request: Request{Service: "svc", Head: "head", Body: []byte("other")}},
		{name: "divided otherwise", request: Request{Service: "svc", Head: "headb", Body: []byte("ody")}},
		{name: "another prompt beside a body", request: Request{Service: "svc", Head: "head", Body: base.Body, Prompt: "c"}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := k.Name(tt.request) == k.Name(base); got != tt.want {
				t.Errorf("got the same name %t, want %t", got, tt.want)
			}
			if got := tt.request.hash(k.seed) == base.hash(k.seed); got != tt.want {
				t.Errorf("got the same hash %t, want %t", got, tt.want)
			}
		})
	}
	withoutBody := Request{Service: "svc", Head: "head", Prompt: "a"}
	if other := (Request{Service: "svc", Head: "head", Prompt: "b"}); k.Name(withoutBody) == k.Name(other) || withoutBody.hash(k.seed) == other.hash(k.seed) {
		t.Error("got the same name for requests without a body and with other prompts")
	}
	if newTestKeeper(&keeperLog{}).Name(base) == k.Name(base) {
		t.Error("got the same name with another key")
	}
}

// TestNewKeyRenamesOwnReport covers a node that has seen crashes before it knew the key of the fleet.
func TestNewKeyRenamesOwnReport(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	k.RecordComplete(start, start, plain("known"))
	k.RecordCrash(start, runOf(0), plain("bad"), false)
	k.RecordCrash(start.Add(time.Second), runOf(1), plain("bad"), false)
	k.SetKey(start.Add(time.Second), []byte("key of the fleet"))
	k.RecordCrash(start.Add(2*time.Second), runOf(2), plain("known"), false)
	if _, ok := check(k, start.Add(2*time.Second), plain("bad")); !ok {
		t.Error("got no quarantine after the key changed")
	}
	for _, s := range k.Own(start.Add(2 * time.Second)).Strikes {
		if want := s.Trait.ID == k.Name(plain("known")); s.Known != want || (!want && s.Trait.ID != k.Name(plain("bad"))) {
			t.Errorf("got strike %+v, want it named with the new key, and known for the answered request alone", s)
		}
	}
}

// TestRequestsBesideEachOtherAreNeverSoleSuspects covers two requests that were at two targets together when these crashed, each alone
// enough for a verdict: at no moment is there one.
func TestRequestsBesideEachOtherAreNeverSoleSuspects(t *testing.T) {
	var k *Keeper
	k = NewKeeper(KeeperConfig{Node: "n-1", OnReport: func(Urgency) {}, OnEvidence: func() {
		if got := k.Verdicts(start.Add(time.Second)); len(got) > 0 {
			t.Errorf("got verdicts %v, want none", got)
		}
	}})
	for i := range soleCrashes {
		k.RecordCrashes(start.Add(time.Duration(i)*time.Second), runOf(i), []Request{plain("sound"), plain("bad")}, true)
	}
	if d, ok := k.Decide(start.Add(time.Second), plain("sound")).(SendAlone); !ok || d.Crashes != soleCrashes {
		t.Errorf("got decision %+v, want the request sent alone after %d crashes", d, soleCrashes)
	}
}

// TestAnswerClearsRequest covers an answer at one target while others crash under requests with the same content.
func TestAnswerClearsRequest(t *testing.T) {
	b := boardAfter(crash{requests: []string{"poll"}}, crash{at: time.Second, requests: []string{"poll"}})
	now := start.Add(2 * time.Second)
	if _, ok := decide(b, now, request("poll")).(Reject); !ok {
		t.Fatal("got no quarantine after two crashes")
	}
	runs, urgent := b.Clearable(now, start.Add(-time.Second), request("poll")[0])
	if len(runs) != 2 || !urgent {
		t.Errorf("got %d crashes cleared by a response that was sent before them, urgent %t, want 2 at once", len(runs), urgent)
	}
	b = b.With(now, "n-9", Report{}.WithClearance(Clearance{Trait: request("poll")[0], Runs: runs, At: now}))
	if got := decide(b, now, request("poll")); got != (Send{}) {
		t.Errorf("got %T after the answer, want it sent", got)
	}
}

// TestRequestAndPartExplainEachOther covers a request at fault whose parts are sound, and a part at fault of different requests.
func TestRequestAndPartExplainEachOther(t *testing.T) {
	shared := Trait{Kind: PromptPart, Service: "svc", ID: "shared"}
	board := func(ids ...string) Board {
		var b Board
		for i, id := range ids {
			at := start.Add(time.Duration(i) * time.Second)
			r := Report{}.WithStrike(Strike{Trait: shared, Run: runOf(i), At: at, Begun: true}).WithStrike(Strike{Trait: request(id)[0], Run: runOf(i), At: at})
			b = b.With(at, fmt.Sprintf("n-%d", i), r)
		}
		return b
	}
	now := start.Add(time.Minute)
	if b := board("bad", "bad", "bad", "bad"); isQuarantined(b, now, shared) || !isQuarantined(b, now, request("bad")...) {
		t.Error("want the request in quarantine and not its part")
	}
	if b := board("r1", "r2", "r3"); !isQuarantined(b, now, shared) || isQuarantined(b, now, request("r1")...) {
		t.Error("want the part in quarantine that three requests had")
	}
	if b := board("r1", "r1", "r2", "r2", "r3", "r3"); !isQuarantined(b, now, shared) {
		t.Error("want the part in quarantine that three requests had which came again")
	}
}

// TestTrials covers when a request in quarantine may be sent all the same.
func TestTrials(t *testing.T) {
	b := boardAfter(crash{requests: []string{"bad"}}, crash{at: time.Second, requests: []string{"bad"}})
	last := start.Add(time.Second)
	mayTry := func(b Board, at time.Time) bool {
		r, ok := decide(b, at, request("bad")).(Reject)
		return ok && r.MayTry
	}
	bad := request("bad")[0]
	once := b.WithTrials(Trials{}.With(last.Add(firstTrialDelay), bad))
	twice := once.WithTrials(once.trials.With(last.Add(2*nextTrialDelay), bad))
	crashedAt := last.Add(firstTrialDelay + time.Second)
	crashed := once.With(crashedAt, "n-9", Report{}.WithStrike(Strike{Trait: bad, Run: runOf(9), At: crashedAt}))
	tests := []struct {
		name  string
		board Board
		after time.Duration
		want  bool
	}{
		{name: "soon after the last crash", board: b, after: firstTrialDelay - 1},
		{name: "later", board: b, after: firstTrialDelay, want: true},
		{name: "soon after the first trial", board: once, after: firstTrialDelay + nextTrialDelay - 1},
		{name: "later than the first trial", board: once, after: firstTrialDelay + nextTrialDelay, want: true},
		{name: "after the second trial", board: twice, after: retention / 2},
		{name: "after a trial that ended in a crash", board: crashed, after: retention / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := mayTry(tt.board, last.Add(tt.after)); got != tt.want {
				t.Errorf("got a trial allowed %t, want %t", got, tt.want)
			}
		})
	}
	full := Trials{}
	for i := range maxTrialEntries {
		full = full.With(last, request(fmt.Sprint(i))[0])
	}
	if mayTry(b.WithTrials(full), last.Add(firstTrialDelay)) {
		t.Errorf("got a trial beside %d others, want none", maxTrialEntries)
	}
	if got := len(full.With(last.Add(2*retention), bad).List()); got != 1 {
		t.Errorf("got %d trials remembered after they have expired, want 1", got)
	}
}

// TestReportKeepsCulprit covers ten targets lost together, each with many requests, after a request had been at two crashed ones.
func TestReportKeepsCulprit(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	k.RecordCrash(start, runOf(0), plain("bad"), false)
	k.RecordCrash(start.Add(time.Second), runOf(1), plain("bad"), false)
	for run := range 10 {
		for i := range 2 * maxRequestStrikes / 10 {
			k.RecordCrash(start.Add(2*time.Second), runOf(10+run), plain(fmt.Sprintf("r-%d-%d", run, i)), false)
		}
	}
	own := k.Own(start.Add(3 * time.Second))
	name := k.Name(plain("bad"))
	isBad := func(s Strike) bool { return s.Trait.ID == name }
	if len(own.Strikes) > maxRequestStrikes || !slices.ContainsFunc(own.Strikes, isBad) {
		t.Errorf("got %d strikes, with the culprit's %t, want at most %d with them", len(own.Strikes), slices.ContainsFunc(own.Strikes, isBad), maxRequestStrikes)
	}
	if _, ok := check(k, start.Add(3*time.Second), plain("bad")); !ok {
		t.Error("got the culprit pushed out by bystanders")
	}
}

// TestSoundRequestsLeaveReport covers requests that were at a crashed target and are answered elsewhere.
func TestSoundRequestsLeaveReport(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	k.RecordCrash(start, runOf(0), plain("sound"), false)
	k.RecordComplete(start.Add(time.Second), start, plain("sound"))
	if own := k.Own(start.Add(time.Second)); !own.IsEmpty() {
		t.Errorf("got report %v, want an empty one", own)
	}
}

// TestVerdictOnRequestIsReportedOnceSettled covers reports that are still on their way when two crashes point at one request.
func TestVerdictOnRequestIsReportedOnceSettled(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	k.RecordCrash(start, runOf(0), plain("victim"), false)
	k.RecordCrash(start.Add(time.Second), runOf(1), plain("victim"), false)
	changes, next := k.Review(start.Add(time.Second))
	if len(changes) != 1 || !next.Equal(start.Add(time.Second+settleTime)) {
		t.Fatalf("got %d changes, next review at %s, want one and a review %s later", len(changes), next, settleTime)
	}
	report := Report{}
	for i := range 3 {
		report = report.WithStrike(Strike{Trait: request("bad")[0], Run: runOf(i), At: start.Add(time.Second)})
	}
	k.Merge(start.Add(1100*time.Millisecond), "n-2", report)
	changes, _ = k.Review(start.Add(2 * time.Second))
	if len(changes) != 2 || len(k.Own(start.Add(2*time.Second)).Verdicts) != 0 {
		t.Errorf("got changes %v, own verdicts %v, want the culprit in quarantine, the victim lifted, and no verdict of the node's own", changes, k.Own(start.Add(2*time.Second)).Verdicts)
	}
}
