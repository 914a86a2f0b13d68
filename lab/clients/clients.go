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
	Name  string
	Share float64       // of the arrivals
	Work  time.Duration // mean on one core
	Wait  time.Duration // until its caller gives up
	Aim   time.Duration // within which it is worth anything
	Worth float64
	Poor  float64 // share of it without the call
	Keyed bool
}

// Habit is how a front end chooses and tries again.
type Habit struct {
	ByKey  bool    // by a hash of the key, else in turn
	Tries  int     // at most; 0 = no limit
	Budget float64 // retries for each first try; 0 = as many as it likes
	Heed   bool    // it heeds advice to stay away and not to try elsewhere
}

// Plan is a load.
type Plan struct {
	FrontEnds int
	Rate      float64 // requests a second, all together
	Classes   []Class
	Habits    []Habit // taken in turn by front ends
	Keys      int     // different keys of reads
	Seed      uint64
	// Read has a try read at a server, which takes of its cores: a try waits there until the channel is closed. Nil:
	// reading costs nothing.
	Read func(server string) <-chan struct{}
	Over func(server, try string) // is told of each try that is over; nil: nobody is
}

// Server is where a front end may send.
type Server struct{ Name, Addr string }

// List is the list of servers as a front end has it now.
type List func() []Server

// pauseFull is how long a front end waits when every server it tried refused or could not be reached.
const pauseFull = 20 * time.Millisecond

type frontEnd struct {
	number  int
	plan    *Plan
	habit   Habit
	list    List
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
func Run(ctx context.Context, p Plan, list List, log *history.Log) {
	tries.Store(uint64(time.Now().UnixNano()))
	var wg sync.WaitGroup
	for i := range p.FrontEnds {
		f := &frontEnd{number: i, plan: &p, habit: p.Habits[i%len(p.Habits)], list: list, log: log, links: map[string]*link{},
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
		at += time.Duration(f.rand.ExpFloat64() * float64(f.plan.FrontEnds) / f.plan.Rate * float64(time.Second))
		class := f.drawClass()
		work := time.Duration(float64(class.Work) * (0.5 + f.rand.ExpFloat64()/2))
		r := request{class: class, work: work, rank: f.rand.Float64(), key: f.rand.IntN(f.plan.Keys), at: at,
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
		if x -= c.Share; x < 0 {
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
	due := r.at + r.class.Wait
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
			if got = r.class.Worth; a.poorer {
				got *= r.class.Poor
			}
			if f.log.Now()-r.at > r.class.Aim {
				word, got = "late", 0
			}
			break
		}
		if word == "unreached" {
			time.Sleep(pauseFull)
		}
		if a.last && f.habit.Heed || r.class.Keyed && word != "refused" && word != "unreached" || f.log.Now() >= due || !f.again(r) {
			break
		}
		if a.after > 0 && f.habit.Heed {
			f.mu.Lock()
			f.away[s.Name] = f.log.Now() + a.after
			f.mu.Unlock()
		}
	}
	f.log.Add(history.Event{Kind: history.Request, Class: r.class.Name, Word: word, N: r.tries, Took: f.log.Now() - r.at, Worth: r.class.Worth,
		Got: got, Work: r.work, Caller: f.number})
}

// again reports whether the habit allows another try, and books it.
func (f *frontEnd) again(r *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.habit.Tries > 0 && r.tries >= f.habit.Tries {
		return false
	}
	if f.habit.Budget > 0 && f.repeats+1 > f.habit.Budget*f.firsts+1 {
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
		if f.habit.ByKey {
			h := fnv.New32a()
			fmt.Fprint(h, r.key)
			i = int(h.Sum32()>>1) + r.tries + f.turn - i - 1
		}
		s := &all[i%len(all)]
		if !f.habit.Heed || f.away[s.Name] <= now {
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
	e := history.Event{Kind: history.Ask, Try: id, Class: r.class.Name, Server: s.Name, Caller: f.number, Due: due}
	if r.class.Keyed {
		fields["once"] = r.name
		e.Once = r.name
	} else {
		fields["key"] = fmt.Sprintf("%016x", r.key)
	}
	f.log.Add(e)
	if f.plan.Read != nil {
		if read := f.plan.Read(s.Name); read != nil {
			select {
			case <-read:
			case <-time.After(due - f.log.Now()):
				f.log.Add(history.Event{Kind: history.GaveUp, Try: id, Server: s.Name, Word: "unread"})
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
		f.log.Add(history.Event{Kind: history.Answer, Try: id, Server: s.Name, Word: "lost"})
		return answer{word: "lost"}
	}
	if f.plan.Over != nil {
		defer f.plan.Over(s.Name, id)
	}
	select {
	case a, open := <-got:
		if !open {
			f.unlink(s, l)
			a = answer{word: "lost"}
		}
		f.log.Add(history.Event{Kind: history.Answer, Try: id, Server: s.Name, Word: a.word})
		return a
	case <-time.After(due + grace - f.log.Now()):
		f.log.Add(history.Event{Kind: history.GaveUp, Try: id, Server: s.Name})
		return answer{word: "gave up"}
	}
}

// grace is how long past its end a caller still listens, so that a late answer is seen as late.
const grace = time.Second
