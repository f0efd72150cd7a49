package admission

import (
	"container/heap"
	"time"
)

const ranks = 3

// Job is one attempt that waits.
type Job struct {
	ID     string
	Team   string
	Weight int
	// Priority is the priority, lower first.
	Priority int
	// Deadline is when the stage must be done.
	Deadline time.Time
}

// Queue holds the waiting jobs of one target.
type Queue struct {
	classes [ranks]class
	size    int
	places  map[string]*flow
}

// class is one priority: the flows share by weight, in virtual time.
type class struct {
	flows map[string]*flow
	clock float64
	size  int
}

// flow is one team's waiting jobs inside a class.
type flow struct {
	team   string
	weight int
	rank   int
	start  float64
	jobs   jobs
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

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{places: map[string]*flow{}} }

// Len is how many jobs wait.
func (q *Queue) Len() int { return q.size }

// Push adds a job.
func (q *Queue) Push(j Job) {
	j = j.clamped()
	c := &q.classes[j.Priority]
	f := c.flow(j)
	if len(f.jobs) == 0 {
		f.start = max(f.start, c.clock)
	}
	heap.Push(&f.jobs, j)
	q.places[j.ID] = f
	c.size++
	q.size++
}

func (j Job) clamped() Job {
	j.Weight = max(1, j.Weight)
	j.Priority = min(max(0, j.Priority), ranks-1)
	return j
}

const idleFlows = 256

func (c *class) flow(j Job) *flow {
	if c.flows == nil {
		c.flows = map[string]*flow{}
	}
	f, ok := c.flows[j.Team]
	if !ok {
		c.sweep()
		f = &flow{team: j.Team, rank: j.Priority}
		c.flows[j.Team] = f
	}
	f.weight = j.Weight
	return f
}

// sweep forgets teams that wait for nothing and are owed nothing.
func (c *class) sweep() {
	if len(c.flows) < idleFlows {
		return
	}
	for name, f := range c.flows {
		if len(f.jobs) == 0 && f.start <= c.clock {
			delete(c.flows, name)
		}
	}
}

// Pop takes the job to run next; false if none waits.
func (q *Queue) Pop() (Job, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		f := c.next()
		if f == nil {
			continue
		}
		c.clock = f.start
		f.start += 1 / float64(f.weight)
		j := heap.Pop(&f.jobs).(Job)
		q.taken(c, j)
		return j, true
	}
	return Job{}, false
}

func (q *Queue) taken(c *class, j Job) {
	delete(q.places, j.ID)
	c.size--
	q.size--
}

func (c *class) next() *flow {
	var best *flow
	if c.size == 0 {
		return nil
	}
	for _, f := range c.flows {
		if len(f.jobs) == 0 {
			continue
		}
		if best == nil || f.start < best.start || (f.start == best.start && f.team < best.team) {
			best = f
		}
	}
	return best
}

// Remove takes a job out wherever it waits; false if it does not wait.
func (q *Queue) Remove(id string) (Job, bool) {
	f, ok := q.places[id]
	if !ok {
		return Job{}, false
	}
	for i, j := range f.jobs {
		if j.ID == id {
			heap.Remove(&f.jobs, i)
			q.taken(&q.classes[f.rank], j)
			return j, true
		}
	}
	return Job{}, false
}

// CountAhead estimates how many waiting jobs go before one of j's team that came now.
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

// EvictionCandidate picks the job that makes room for j in a full queue: the latest one of a lower
// priority, or of the team in j's priority that holds most for its weight; false if j holds most itself.
func (q *Queue) EvictionCandidate(j Job) (Job, bool) {
	j = j.clamped()
	for i := ranks - 1; i > j.Priority; i-- {
		if f := q.classes[i].fullest("", 0); f != nil {
			return f.latest(), true
		}
	}
	c := &q.classes[j.Priority]
	own := 1.0 / float64(j.Weight)
	if f := c.flows[j.Team]; f != nil {
		own = float64(len(f.jobs)+1) / float64(j.Weight)
	}
	if f := c.fullest(j.Team, own); f != nil {
		return f.latest(), true
	}
	return Job{}, false
}

// fullest is the team other than except that holds most for its weight, if more than floor.
func (c *class) fullest(except string, floor float64) *flow {
	var best *flow
	for _, f := range c.flows {
		held := float64(len(f.jobs)) / float64(f.weight)
		if f.team == except || len(f.jobs) == 0 || held <= floor {
			continue
		}
		if best == nil || held > float64(len(best.jobs))/float64(best.weight) || (held == float64(len(best.jobs))/float64(best.weight) && f.team < best.team) {
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

// Late lists the jobs that cannot be done in time if each takes service from now.
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
