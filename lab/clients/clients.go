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

// retryPause is how long a front end waits when every server it tried refused or could not be reached.
const retryPause = 20 * time.Millisecond

type frontEnd struct {
	number        int
	workload      *Workload
	policy        Policy
	servers       ServerLister
	log           *history.Log
	mu            sync.Mutex
	rand          *rand.Rand
	conns         map[string]*serverConn
	nextServer    int
	firstAttempts float64
	retries       float64
	backoffUntil  map[string]time.Duration // servers that asked to be left alone, until then
}

var attemptIDs atomic.Uint64

// Run sends requests until ctx ends, and then waits for those under way.
func Run(ctx context.Context, workload Workload, servers ServerLister, log *history.Log) {
	attemptIDs.Store(uint64(time.Now().UnixNano()))
	var group sync.WaitGroup
	for i := range workload.FrontEnds {
		f := &frontEnd{number: i, workload: &workload, policy: workload.Policies[i%len(workload.Policies)], servers: servers, log: log, conns: map[string]*serverConn{},
			rand: rand.New(rand.NewPCG(workload.Seed, uint64(i)+100)), backoffUntil: map[string]time.Duration{}}
		group.Add(1)
		go func() {
			defer group.Done()
			f.generate(ctx)
		}()
	}
	group.Wait()
}

// generate has requests arrive at times that nothing which happens moves.
func (f *frontEnd) generate(ctx context.Context) {
	var group sync.WaitGroup
	at := f.log.Now()
	for n := 0; ; n++ {
		at += time.Duration(f.rand.ExpFloat64() * float64(f.workload.FrontEnds) / f.workload.RequestsPerSecond * float64(time.Second))
		class := f.drawClass()
		work := time.Duration(float64(class.MeanWork) * (0.5 + f.rand.ExpFloat64()/2))
		arrived := request{class: class, work: work, rank: f.rand.Float64(), key: f.rand.IntN(f.workload.KeyCount), arrival: at,
			idempotencyKey: fmt.Sprintf("%08x%08x%016x", f.number, n, f.workload.Seed)}
		select {
		case <-ctx.Done():
			group.Wait()
			f.close()
			return
		case <-time.After(max(at-f.log.Now(), 0)):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			f.serve(&arrived)
		}()
	}
}

func (f *frontEnd) drawClass() *Class {
	x := f.rand.Float64()
	for i := range f.workload.Classes {
		c := &f.workload.Classes[i]
		if x -= c.ArrivalRatio; x < 0 {
			return c
		}
	}
	return &f.workload.Classes[0]
}

type request struct {
	class          *Class
	work           time.Duration
	rank           float64
	key            int
	idempotencyKey string
	arrival        time.Duration
	attempts       int
}

// serve tries a request until it is served, its caller gives up or the habit says that it is enough.
func (f *frontEnd) serve(pending *request) {
	deadline := pending.arrival + pending.class.Timeout
	outcome, value := "refused", 0.0
	for {
		target := f.choose(pending)
		if target == nil {
			time.Sleep(retryPause)
			if f.log.Now() >= deadline {
				break
			}
			continue
		}
		reply := f.attempt(pending, target, deadline)
		outcome = reply.outcome
		if outcome == "served" {
			if value = pending.class.Value; reply.degraded {
				value *= pending.class.DegradedValueRatio
			}
			if f.log.Now()-pending.arrival > pending.class.LatencyObjective {
				outcome, value = "late", 0
			}
			break
		}
		if outcome == "unreached" {
			time.Sleep(retryPause)
		}
		if reply.noRetry && f.policy.HonorRetryAfter || pending.class.IdempotentByKey && outcome != "refused" && outcome != "unreached" || f.log.Now() >= deadline || !f.allowRetry(pending) {
			break
		}
		if reply.retryAfter > 0 && f.policy.HonorRetryAfter {
			f.mu.Lock()
			f.backoffUntil[target.Name] = f.log.Now() + reply.retryAfter
			f.mu.Unlock()
		}
	}
	f.log.Add(history.Event{Kind: history.RequestCompleted, Class: pending.class.Name, Detail: outcome, Count: pending.attempts, Latency: f.log.Now() - pending.arrival, Value: pending.class.Value,
		ValueServed: value, Work: pending.work, Client: f.number})
}

// allowRetry reports whether the habit allows another try, and books it.
func (f *frontEnd) allowRetry(pending *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.policy.MaxAttempts > 0 && pending.attempts >= f.policy.MaxAttempts {
		return false
	}
	if f.policy.RetryBudget > 0 && f.retries+1 > f.policy.RetryBudget*f.firstAttempts+1 {
		return false
	}
	f.retries++
	return true
}

// choose returns the server for the next try, or nil while there is none.
func (f *frontEnd) choose(pending *request) *Server {
	servers := f.servers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.log.Now()
	if pending.attempts == 0 {
		f.firstAttempts++
	}
	for range servers {
		i := f.nextServer
		f.nextServer++
		if f.policy.RouteByKey {
			hash := fnv.New32a()
			fmt.Fprint(hash, pending.key)
			i = int(hash.Sum32()>>1) + pending.attempts + f.nextServer - i - 1
		}
		candidate := &servers[i%len(servers)]
		if !f.policy.HonorRetryAfter || f.backoffUntil[candidate.Name] <= now {
			return candidate
		}
	}
	return nil
}

type answer struct {
	outcome    string
	retryAfter time.Duration
	noRetry    bool
	degraded   bool // served without the call
}

// attempt sends a request to one server and waits for its answer.
func (f *frontEnd) attempt(pending *request, target *Server, deadline time.Duration) answer {
	conn := f.dial(target)
	if conn == nil {
		return answer{outcome: "unreached"}
	}
	pending.attempts++
	id := fmt.Sprintf("%016x", attemptIDs.Add(1))
	fields := map[string]string{"id": id, "from": strconv.Itoa(f.number), "kb": "24.0", "rank": fmt.Sprintf("%.4f", pending.rank),
		"at":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"wait": strconv.FormatInt(max((deadline-f.log.Now()).Milliseconds(), 1), 10),
		"cost": strconv.FormatFloat(float64(pending.work)/float64(time.Millisecond), 'f', 2, 64)}
	sent := history.Event{Kind: history.AttemptSent, AttemptID: id, Class: pending.class.Name, Server: target.Name, Client: f.number, Deadline: deadline}
	if pending.class.IdempotentByKey {
		fields["once"] = pending.idempotencyKey
		sent.IdempotencyKey = pending.idempotencyKey
	} else {
		fields["key"] = fmt.Sprintf("%016x", pending.key)
	}
	f.log.Add(sent)
	if f.workload.ReadRequest != nil {
		if read := f.workload.ReadRequest(target.Name); read != nil {
			select {
			case <-read:
			case <-time.After(deadline - f.log.Now()):
				f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: target.Name, Detail: "unread"})
				return answer{outcome: "gave up"}
			}
			// A server ends a connection on which nothing has come for 2 s, and a cold one may take longer to read.
			if still := f.dial(target); still != nil {
				conn = still
			}
		}
	}
	// The body tells the stand-in agent how much work it is.
	answers, ok := conn.send(pending.class.Name, fields, []byte(strconv.FormatInt(int64(pending.work), 10)))
	if !ok {
		f.forget(target, conn)
		f.log.Add(history.Event{Kind: history.AttemptAnswered, AttemptID: id, Server: target.Name, Detail: "lost"})
		return answer{outcome: "lost"}
	}
	if f.workload.AttemptCompleted != nil {
		defer f.workload.AttemptCompleted(target.Name, id)
	}
	select {
	case reply, open := <-answers:
		if !open {
			f.forget(target, conn)
			reply = answer{outcome: "lost"}
		}
		f.log.Add(history.Event{Kind: history.AttemptAnswered, AttemptID: id, Server: target.Name, Detail: reply.outcome})
		return reply
	case <-time.After(deadline + answerGrace - f.log.Now()):
		f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: target.Name})
		return answer{outcome: "gave up"}
	}
}

// answerGrace is how long past its end a caller still listens, so that a late answer is seen as late.
const answerGrace = time.Second
