package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"falldeal/lab/frontrpc"
)

const (
	connsPerFront = 4 // connections that a front end opens before it uses them more

)

// Fronts are the front ends of an image server, with open arrivals. The fields are set before Run.
type Fronts struct {
	Record  *Record
	Address string
	Count   int // of front ends
	Rate    float64
	Heeding int    // front ends that heed the advice to stay away
	Uses    uint32 // requests on a connection, after which the front end closes it; 0 = any number
	Next    func() *frontrpc.Request

	// Patience is how long after its due time a request is waited for. The front end then takes it back, and counts it as
	// Missing. 0 = until the answer or the end of the connection.
	Patience time.Duration

	OnWritten func(*frontrpc.Request)
	OnAnswer  func(*frontrpc.Request, Answer)

	mu       sync.Mutex
	fronts   []*front
	outcomes map[Outcome]int
	pending  sync.WaitGroup
}

// front is one front end.
type front struct {
	number    int
	conns     []*Conn
	awayUntil time.Time
	uses      uint32
}

// Run sends requests until stop is closed, and waits for the answers.
func (f *Fronts) Run(stop <-chan struct{}) {
	f.outcomes = map[Outcome]int{}
	for i := range f.Count {
		f.fronts = append(f.fronts, &front{number: i + 1, uses: f.Uses})
	}
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	last := time.Now()
	owed := 0.0
	for turn := 0; ; {
		select {
		case <-stop:
			f.pending.Wait()
			f.close()
			return
		case now := <-ticker.C:
			owed += f.Rate * now.Sub(last).Seconds()
			last = now
		}
		for ; owed >= 1; owed-- {
			f.sendFrom(f.fronts[turn%f.Count])
			turn++
		}
	}
}

// Outcomes returns the number of answers by their outcome.
func (f *Fronts) Outcomes() map[Outcome]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := map[Outcome]int{}
	for outcome, count := range f.outcomes {
		copied[outcome] = count
	}
	return copied
}

func (f *Fronts) close() {
	for _, sender := range f.fronts {
		for _, conn := range sender.conns {
			conn.Close()
		}
	}
}

// sendFrom sends a request from a front end, unless that was told to stay away.
func (f *Fronts) sendFrom(sender *front) {
	f.mu.Lock()
	away := time.Now().Before(sender.awayUntil)
	f.mu.Unlock()
	if away {
		return
	}
	request := f.Next()
	request.Client = sender.number
	if err := f.send(sender, request); err != nil {
		f.Record.Add("front end %d: %s not sent: %v", sender.number, request.ID, err)
	}
}

func (f *Fronts) send(sender *front, request *frontrpc.Request) error {
	conn, err := sender.conn(f.Address)
	if err != nil {
		return err
	}
	f.OnWritten(request)
	request.SentAt = time.Now()
	f.Record.Add("front end %d: sends %s %s", sender.number, request.ID, request.Class)
	answers, err := conn.Send(request)
	if err != nil {
		f.OnAnswer(request, Answer{Outcome: Broken})
		return err
	}
	f.pending.Add(1)
	go f.await(sender, request, conn, answers)
	return nil
}

// await waits for the answer to a request.
func (f *Fronts) await(sender *front, request *frontrpc.Request, conn *Conn, answers <-chan Answer) {
	defer f.pending.Done()
	answer := f.receive(request, conn, answers)
	f.Record.Add("front end %d: %s %s after %d ms", sender.number, request.ID, answer.Outcome,
		answer.At.Sub(request.SentAt).Milliseconds())
	f.OnAnswer(request, answer)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[answer.Outcome]++
	if answer.Outcome == Refused && sender.number <= f.Heeding {
		sender.awayUntil = time.Now().Add(answer.After)
	}
}

// receive returns the answer to a request, or Missing once its time and the patience of the front end are over.
func (f *Fronts) receive(request *frontrpc.Request, conn *Conn, answers <-chan Answer) Answer {
	if f.Patience <= 0 {
		return <-answers
	}
	select {
	case answer := <-answers:
		return answer
	case <-time.After(time.Until(request.SentAt.Add(request.Timeout + f.Patience))):
		conn.Cancel(answers)
		return Answer{Outcome: Missing, At: time.Now()}
	}
}

// conn returns a connection that can take one more request: the one with the fewest, or a new one.
func (s *front) conn(address string) (*Conn, error) {
	var usable []*Conn
	var best *Conn
	for _, conn := range s.conns {
		if !conn.Usable() {
			continue
		}
		usable = append(usable, conn)
		if best == nil || conn.Open() < best.Open() {
			best = conn
		}
	}
	s.conns = usable
	if best != nil && (best.Open() == 0 || len(usable) >= connsPerFront) {
		return best, nil
	}
	opened, err := Dial(address)
	if err != nil {
		return nil, err
	}
	opened.limit = s.uses
	s.conns = append(s.conns, opened)
	return opened, nil
}

// Requests makes requests with ids of their own.
type Requests struct {
	Seed uint64
	rng  *rand.Rand
	last uint64
}

// NewRequests returns a source of requests that follows from a seed.
func NewRequests(seed uint64) *Requests {
	return &Requests{Seed: seed, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Random returns the random numbers of the requests.
func (r *Requests) Random() *rand.Rand { return r.rng }

// New returns a request of a class.
func (r *Requests) New(class Class, kilobytes float64, work time.Duration) *frontrpc.Request {
	r.last++
	id := r.Seed<<32 | r.last
	request := &frontrpc.Request{
		Class: class.Name, ID: fmt.Sprintf("%016x", id), MemoryKB: kilobytes, Rank: r.rng.Float64(),
		Timeout: class.Deadline, CostHint: work, Body: fmt.Appendf(nil, "%s %d", class.Name, r.last),
	}
	if class.Effect == "keyed" {
		request.IdempotencyKey = fmt.Sprintf("%032x", id)
	} else {
		request.Subject = fmt.Sprintf("%016x", r.rng.Uint64N(4000))
	}
	return request
}
