// Package clients plays front ends with habits: open arrivals that do not wait for answers, drawn from a seed, lists
// that lag, retries with and without a bound. What it leaves out: health checks, measured load reports, and connections
// that are closed when idle.
package clients

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"falldeal/lab/history"
)

// Class is one class of requests.
type Class struct {
	Name               string
	ArrivalRatio       float64       // of the arrivals
	MeanWork           time.Duration // mean on one core
	Timeout            time.Duration // until its caller gives up
	LatencyObjective   time.Duration // within which it is worth anything
	Value              float64
	DegradedValueRatio float64 // share of it without the call
	IdempotentByKey    bool
}

// Policy is how a front end chooses and tries again.
type Policy struct {
	RouteByKey      bool    // by a hash of the key, else in turn
	MaxAttempts     int     // at most; 0 = no limit
	RetryBudget     float64 // retries for each first try; 0 = as many as it likes
	HonorRetryAfter bool    // it heeds advice to stay away and not to try elsewhere
}

// Workload is a load.
type Workload struct {
	FrontEnds         int
	RequestsPerSecond float64 // requests a second, all together
	Classes           []Class
	Policies          []Policy // taken in turn by front ends
	KeyCount          int      // different keys of reads
	Seed              uint64
	// ReadRequest has a try read at a server, which takes of its cores: a try waits there until the channel is closed. Nil:
	// reading costs nothing.
	ReadRequest      func(server string) <-chan struct{}
	AttemptCompleted func(server, try string) // is told of each try that is over; nil: nobody is
}

// Server is where a front end may send.
type Server struct{ Name, Addr string }

// ServerLister is the list of servers as a front end has it now.
type ServerLister func() []Server

// pauseFull is how long a front end waits when every server it tried refused or could not be reached.
const pauseFull = 20 * time.Millisecond

type frontEnd struct {
	number  int
	plan    *Workload
	habit   Policy
	list    ServerLister
	log     *history.Log
	mu      sync.Mutex
	rand    *rand.Rand
	links   map[string]*link
	turn    int
	firsts  float64
	repeats float64
	away    map[string]time.Duration // servers that asked to be left alone, until then
}

var tries atomic.Uint64

// Run sends requests until ctx ends, and then waits for those under way.
func Run(ctx context.Context, p Workload, list ServerLister, log *history.Log) {
	tries.Store(uint64(time.Now().UnixNano()))
	var wg sync.WaitGroup
	for i := range p.FrontEnds {
		f := &frontEnd{number: i, plan: &p, habit: p.Policies[i%len(p.Policies)], list: list, log: log, links: map[string]*link{},
			rand: rand.New(rand.NewPCG(p.Seed, uint64(i)+100)), away: map[string]time.Duration{}}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.arrivals(ctx)
		}()
	}
	wg.Wait()
}

// arrivals has requests arrive at times that nothing which happens moves.
func (f *frontEnd) arrivals(ctx context.Context) {
	var wg sync.WaitGroup
	at := f.log.Now()
	for n := 0; ; n++ {
		at += time.Duration(f.rand.ExpFloat64() * float64(f.plan.FrontEnds) / f.plan.RequestsPerSecond * float64(time.Second))
		class := f.drawClass()
		work := time.Duration(float64(class.MeanWork) * (0.5 + f.rand.ExpFloat64()/2))
		r := request{class: class, work: work, rank: f.rand.Float64(), key: f.rand.IntN(f.plan.KeyCount), at: at,
			name: fmt.Sprintf("%08x%08x%016x", f.number, n, f.plan.Seed)}
		select {
		case <-ctx.Done():
			wg.Wait()
			f.close()
			return
		case <-time.After(max(at-f.log.Now(), 0)):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.serve(&r)
		}()
	}
}

func (f *frontEnd) drawClass() *Class {
	x := f.rand.Float64()
	for i := range f.plan.Classes {
		c := &f.plan.Classes[i]
		if x -= c.ArrivalRatio; x < 0 {
			return c
		}
	}
	return &f.plan.Classes[0]
}

type request struct {
	class *Class
	work  time.Duration
	rank  float64
	key   int
	name  string
	at    time.Duration
	tries int
}

// serve tries a request until it is served, its caller gives up or the habit says that it is enough.
func (f *frontEnd) serve(r *request) {
	due := r.at + r.class.Timeout
	word, got := "refused", 0.0
	for {
		s := f.choose(r)
		if s == nil {
			time.Sleep(pauseFull)
			if f.log.Now() >= due {
				break
			}
			continue
		}
		a := f.try(r, s, due)
		word = a.word
		if word == "served" {
			if got = r.class.Value; a.poorer {
				got *= r.class.DegradedValueRatio
			}
			if f.log.Now()-r.at > r.class.LatencyObjective {
				word, got = "late", 0
			}
			break
		}
		if word == "unreached" {
			time.Sleep(pauseFull)
		}
		if a.last && f.habit.HonorRetryAfter || r.class.IdempotentByKey && word != "refused" && word != "unreached" || f.log.Now() >= due || !f.again(r) {
			break
		}
		if a.after > 0 && f.habit.HonorRetryAfter {
			f.mu.Lock()
			f.away[s.Name] = f.log.Now() + a.after
			f.mu.Unlock()
		}
	}
	f.log.Add(history.Event{Kind: history.RequestCompleted, Class: r.class.Name, Detail: word, Count: r.tries, Latency: f.log.Now() - r.at, Value: r.class.Value,
		ValueServed: got, Work: r.work, Client: f.number})
}

// again reports whether the habit allows another try, and books it.
func (f *frontEnd) again(r *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.habit.MaxAttempts > 0 && r.tries >= f.habit.MaxAttempts {
		return false
	}
	if f.habit.RetryBudget > 0 && f.repeats+1 > f.habit.RetryBudget*f.firsts+1 {
		return false
	}
	f.repeats++
	return true
}

// choose returns the server for the next try, or nil while there is none.
func (f *frontEnd) choose(r *request) *Server {
	all := f.list()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.log.Now()
	if r.tries == 0 {
		f.firsts++
	}
	for range all {
		i := f.turn
		f.turn++
		if f.habit.RouteByKey {
			h := fnv.New32a()
			fmt.Fprint(h, r.key)
			i = int(h.Sum32()>>1) + r.tries + f.turn - i - 1
		}
		s := &all[i%len(all)]
		if !f.habit.HonorRetryAfter || f.away[s.Name] <= now {
			return s
		}
	}
	return nil
}

type answer struct {
	word   string
	after  time.Duration
	last   bool
	poorer bool // served without the call
}

// try sends a request to one server and waits for its answer.
func (f *frontEnd) try(r *request, s *Server, due time.Duration) answer {
	l := f.link(s)
	if l == nil {
		return answer{word: "unreached"}
	}
	r.tries++
	id := fmt.Sprintf("%016x", tries.Add(1))
	fields := map[string]string{"id": id, "from": strconv.Itoa(f.number), "kb": "24.0", "rank": fmt.Sprintf("%.4f", r.rank),
		"at":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"wait": strconv.FormatInt(max((due-f.log.Now()).Milliseconds(), 1), 10),
		"cost": strconv.FormatFloat(float64(r.work)/float64(time.Millisecond), 'f', 2, 64)}
	e := history.Event{Kind: history.AttemptSent, AttemptID: id, Class: r.class.Name, Server: s.Name, Client: f.number, Deadline: due}
	if r.class.IdempotentByKey {
		fields["once"] = r.name
		e.IdempotencyKey = r.name
	} else {
		fields["key"] = fmt.Sprintf("%016x", r.key)
	}
	f.log.Add(e)
	if f.plan.ReadRequest != nil {
		if read := f.plan.ReadRequest(s.Name); read != nil {
			select {
			case <-read:
			case <-time.After(due - f.log.Now()):
				f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: s.Name, Detail: "unread"})
				return answer{word: "gave up"}
			}
			// A server ends a connection on which nothing has come for 2 s, and a cold one may take longer to read.
			if still := f.link(s); still != nil {
				l = still
			}
		}
	}
	// The body tells the stand-in agent how much work it is.
	got, ok := l.ask(r.class.Name, fields, []byte(strconv.FormatInt(int64(r.work), 10)))
	if !ok {
		f.unlink(s, l)
		f.log.Add(history.Event{Kind: history.AttemptAnswered, AttemptID: id, Server: s.Name, Detail: "lost"})
		return answer{word: "lost"}
	}
	if f.plan.AttemptCompleted != nil {
		defer f.plan.AttemptCompleted(s.Name, id)
	}
	select {
	case a, open := <-got:
		if !open {
			f.unlink(s, l)
			a = answer{word: "lost"}
		}
		f.log.Add(history.Event{Kind: history.AttemptAnswered, AttemptID: id, Server: s.Name, Detail: a.word})
		return a
	case <-time.After(due + grace - f.log.Now()):
		f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: s.Name})
		return answer{word: "gave up"}
	}
}

// grace is how long past its end a caller still listens, so that a late answer is seen as late.
const grace = time.Second
