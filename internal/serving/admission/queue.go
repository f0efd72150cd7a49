package admission

import (
	"container/heap"
	"time"
)

const priorities = 3

// Job is one queued attempt.
type Job struct {
	ID     string
	Team   string
	Weight int
	// Priority is 0 for the most urgent.
	Priority int
	// Deadline is the deadline of the stage.
	Deadline time.Time
}

// Queue holds the waiting jobs of one target.
type Queue struct {
	classes [priorities]class
	size    int
	// byID maps the ids of the waiting jobs to their flows.
	byID map[string]*flow
}

// class holds the flows of one priority, which share the target by weight in virtual time.
type class struct {
	flows       map[string]*flow
	virtualTime float64
	size        int
}

// flow holds one team's waiting jobs of a class.
type flow struct {
	team         string
	weight       int
	priority     int
	virtualStart float64
	jobs         jobs
}

type jobs []Job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].Deadline.Before(j[b].Deadline) }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(Job)) }
func (j *jobs) Pop() any {
	old := *j
	last := old[len(old)-1]
	*j = old[:len(old)-1]
	return last
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byID: map[string]*flow{}} }

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return q.size }

// Push adds a job.
func (q *Queue) Push(j Job) {
	j = j.clamped()
	c := &q.classes[j.Priority]
	f := c.flow(j)
	if len(f.jobs) == 0 {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
	}
	heap.Push(&f.jobs, j)
	q.byID[j.ID] = f
	c.size++
	q.size++
}

func (j Job) clamped() Job {
	j.Weight = max(1, j.Weight)
	j.Priority = min(max(0, j.Priority), priorities-1)
	return j
}

const sweepThreshold = 256

func (c *class) flow(j Job) *flow {
	if c.flows == nil {
		c.flows = map[string]*flow{}
	}
	f, ok := c.flows[j.Team]
	if !ok {
		c.sweep()
		f = &flow{team: j.Team, priority: j.Priority}
		c.flows[j.Team] = f
	}
	f.weight = j.Weight
	return f
}

// sweep removes flows without jobs whose virtual start has passed: a new flow of their team would get the same start.
func (c *class) sweep() {
	if len(c.flows) < sweepThreshold {
		return
	}
	for name, f := range c.flows {
		if len(f.jobs) == 0 && f.virtualStart <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// Pop removes and returns the job to run next; false if none waits.
func (q *Queue) Pop() (Job, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		f := c.nextFlow()
		if f == nil {
			continue
		}
		c.virtualTime = f.virtualStart
		f.virtualStart += 1 / float64(f.weight)
		j := heap.Pop(&f.jobs).(Job)
		q.recordRemoval(c, j)
		return j, true
	}
	return Job{}, false
}

func (q *Queue) recordRemoval(c *class, j Job) {
	delete(q.byID, j.ID)
	c.size--
	q.size--
}

func (c *class) nextFlow() *flow {
	var best *flow
	if c.size == 0 {
		return nil
	}
	for _, f := range c.flows {
		if len(f.jobs) == 0 {
			continue
		}
		if best == nil || f.virtualStart < best.virtualStart || (f.virtualStart == best.virtualStart && f.team < best.team) {
			best = f
		}
	}
	return best
}

// Remove removes a job by its ID; false if it does not wait.
func (q *Queue) Remove(id string) (Job, bool) {
	f, ok := q.byID[id]
	if !ok {
		return Job{}, false
	}
	for i, j := range f.jobs {
		if j.ID == id {
			heap.Remove(&f.jobs, i)
			q.recordRemoval(&q.classes[f.priority], j)
			return j, true
		}
	}
	return Job{}, false
}

// CountAhead estimates how many waiting jobs would run before j if it were added now.
func (q *Queue) CountAhead(j Job) int {
	j = j.clamped()
	ahead := 0
	for i := range j.Priority {
		ahead += q.classes[i].size
	}
	c := &q.classes[j.Priority]
	own := 1
	if f := c.flows[j.Team]; f != nil {
		own += len(f.jobs)
	}
	for _, f := range c.flows {
		if f.team == j.Team {
			ahead += len(f.jobs)
			continue
		}
		share := (own*f.weight + j.Weight - 1) / j.Weight
		ahead += min(len(f.jobs), share)
	}
	return ahead
}

// EvictionCandidate returns the job to evict for j from a full queue: the one with the latest deadline of the team with
// the most jobs for its weight, in the lowest waiting priority below j's or else in j's own; false if that is j's own team.
func (q *Queue) EvictionCandidate(j Job) (Job, bool) {
	j = j.clamped()
	for i := priorities - 1; i > j.Priority; i-- {
		if f := q.classes[i].mostQueued("", 0); f != nil {
			return f.latest(), true
		}
	}
	c := &q.classes[j.Priority]
	own := 1.0 / float64(j.Weight)
	if f := c.flows[j.Team]; f != nil {
		own = float64(len(f.jobs)+1) / float64(j.Weight)
	}
	if f := c.mostQueued(j.Team, own); f != nil {
		return f.latest(), true
	}
	return Job{}, false
}

// mostQueued returns the flow with the most jobs for its weight, other than that of the team except; nil if none has more
// than floor.
func (c *class) mostQueued(except string, floor float64) *flow {
	var best *flow
	for _, f := range c.flows {
		load := float64(len(f.jobs)) / float64(f.weight)
		if f.team == except || len(f.jobs) == 0 || load <= floor {
			continue
		}
		if best == nil || load > float64(len(best.jobs))/float64(best.weight) || (load == float64(len(best.jobs))/float64(best.weight) && f.team < best.team) {
			best = f
		}
	}
	return best
}

func (f *flow) latest() Job {
	last := f.jobs[0]
	for _, j := range f.jobs {
		if j.Deadline.After(last.Deadline) {
			last = j
		}
	}
	return last
}

// Late lists the jobs that would miss their deadline even if each started now and took the given service time.
func (q *Queue) Late(now time.Time, service time.Duration) []Job {
	var list []Job
	for i := range q.classes {
		for _, f := range q.classes[i].flows {
			for _, j := range f.jobs {
				if now.Add(service).After(j.Deadline) {
					list = append(list, j)
				}
			}
		}
	}
	return list
}
