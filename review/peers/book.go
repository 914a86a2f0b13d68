package peers

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sort"
	"sync"
	"time"
)

// slack is what the pages add to the due time of a request: 100 ms of the settings, and 50 ms on sockets.
const slack = 150 * time.Millisecond

// Kinds of answers.
const (
	Served  = "served"
	Refused = "refused"
)

// Try is one request of a front end, as it was written to the image server.
type Try struct {
	ID    string
	Class string
	Key   string
	Body  []byte
	At    time.Time // the field "at"
	Wait  time.Duration
	Kind  string // of the first answer: served, refused, failed; "" without one

	Written  time.Time
	Answered time.Time
	Ran      time.Time
	Result   string // that the front end got
	Reason   string // of a failure
	done     chan struct{}
	life     int
	answers  int
	gone     bool // cancelled, or its connection was reset by the front end's side
	closed   bool // the connection ended before the answer
	over     bool
	produced string // result that the agent made
}

// Done is closed when the try has its answer, or has lost its connection.
func (t *Try) Done() <-chan struct{} { return t.done }

// Book holds every try, and finds the rules that were broken.
type Book struct {
	Record  *Record
	Windows map[string]time.Duration // by class, of keyed classes
	OnOver  func(id string)

	Life int // of the image server; a new one knows no keys. Changed only while no request is sent.

	mu     sync.Mutex
	tries  map[string]*Try
	order  []*Try
	broken []string
}

// NewBook returns an empty book for classes.
func NewBook(record *Record, classes []Class) *Book {
	book := &Book{Record: record, Windows: map[string]time.Duration{}, tries: map[string]*Try{}}
	book.setClasses(classes)
	return book
}

func (b *Book) setClasses(classes []Class) {
	for _, class := range classes {
		if class.Idempotency == "keyed" {
			b.Windows[class.Name] = class.Window
		}
	}
}

// NewID returns hex digits that were not used before.
func NewID(bytes int) string {
	id := make([]byte, bytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

func (b *Book) result(id string) string { return "result of " + id }

// call returns the body of a call of a run, by how many the run has made before.
func (b *Book) call(id string, before int) string {
	return fmt.Sprintf("call %d for %s", before, id)
}

// reply returns the reply to a call.
func (b *Book) reply(call string) string { return "reply to " + call }

// NewTry returns a try of a request. key is empty for a request without one.
func (b *Book) NewTry(class, key string, wait time.Duration) *Try {
	id := NewID(8)
	body := "body of " + id
	if key != "" {
		body = "body of key " + key
	}
	return &Try{ID: id, Class: class, Key: key, Body: []byte(body), Wait: wait, done: make(chan struct{})}
}

func (b *Book) breakRule(rule, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(rule, format, args...)
}

// BreakRule records that a rule was broken.
func (b *Book) BreakRule(rule, format string, args ...any) { b.breakRule(rule, format, args...) }

func (b *Book) note(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	b.broken = append(b.broken, line)
	b.Record.Add("BROKEN %s", line)
}

// SetWindow sets the window of a keyed class, by which the rules are checked.
func (b *Book) SetWindow(class string, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Windows[class] = window
}

// Tries returns all tries so far, in order.
func (b *Book) Tries() []*Try {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Try(nil), b.order...)
}

func (b *Book) find(id string) *Try {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tries[id]
}

// Find returns a try by its id, or nil.
func (b *Book) Find(id string) *Try { return b.find(id) }

func (b *Book) over(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	try := b.tries[id]
	return try != nil && try.over
}

func (b *Book) write(try *Try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	try.life = b.Life
	b.tries[try.ID] = try
	b.order = append(b.order, try)
	b.Record.Add("sent %s %s %s wait %d ms", try.ID, try.Class, try.Key, try.Wait.Milliseconds())
}

func (b *Book) written(try *Try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	try.Written = time.Now()
}

func (b *Book) ran(id string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if try := b.tries[id]; try != nil {
		try.Ran = at
	}
}

func (b *Book) succeeded(id, result string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if try := b.tries[id]; try != nil {
		try.produced = result
	}
}

// Gone records that the front end does not wait any more, or that its side has reset the connection.
func (b *Book) Gone(try *Try, why string) {
	b.mu.Lock()
	try.gone = true
	b.end(try)
	b.Record.Add("gone %s: %s", try.ID, why)
	b.mu.Unlock()
	b.tellOver(try.ID)
}

func (b *Book) end(try *Try) {
	if !try.over {
		try.over = true
		close(try.done)
	}
}

func (b *Book) tellOver(id string) {
	if b.OnOver != nil {
		go b.OnOver(id)
	}
}

func (b *Book) connectionEnded(try *Try) {
	b.mu.Lock()
	if try.answers == 0 && !try.gone {
		try.closed = true
		b.Record.Add("connection ended before the answer to %s", try.ID)
	}
	b.end(try)
	b.mu.Unlock()
	b.tellOver(try.ID)
}

func (b *Book) answer(try *Try, kind, result string) {
	b.mu.Lock()
	try.answers++
	if try.answers == 1 {
		try.Kind, try.Answered, try.Result = kind, time.Now(), result
	}
	b.Record.Add("answer to %s: %s after %d ms %.60q", try.ID, kind, time.Since(try.Written).Milliseconds(), result)
	b.end(try)
	b.mu.Unlock()
	b.tellOver(try.ID)
}

// Close checks the rules over all tries, and returns what was broken.
func (b *Book) Close() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := map[string][]*Try{}
	for _, try := range b.order {
		b.checkAnswer(try)
		if try.Key != "" {
			keys[try.Key] = append(keys[try.Key], try)
		}
	}
	for _, tries := range keys {
		b.checkKey(tries)
	}
	return b.broken
}

func (b *Book) checkAnswer(try *Try) {
	if try.answers > 1 {
		b.note("duplicate", "%s was answered %d times", try.ID, try.answers)
	}
	if try.Written.IsZero() || try.gone {
		return
	}
	b.checkTime(try)
	if try.Kind == Refused && !try.Ran.IsZero() && try.Ran.Before(try.Answered) {
		b.note("duplicate", "%s was refused after it had run", try.ID)
	}
	if try.Kind == Served && try.Key == "" && try.Result != try.produced {
		b.note("lost", "%s was served %q, its run made %q", try.ID, try.Result, try.produced)
	}
}

// checkTime checks that a try was answered by its due time.
func (b *Book) checkTime(try *Try) {
	due := try.At.Add(try.Wait)
	switch {
	case try.answers == 0:
		b.note("lost", "%s (%s) got no answer, connection ended: %v", try.ID, try.Class, try.closed)
	case try.Answered.After(due.Add(slack)):
		b.note("lost", "%s (%s) was answered (%s) %d ms after its due time", try.ID, try.Class, try.Kind,
			try.Answered.Sub(due).Milliseconds())
	}
}

// checkKey checks the tries of one request with a key.
func (b *Book) checkKey(tries []*Try) {
	var runs []*Try
	results := map[string]bool{"": false}
	for _, try := range tries {
		if !try.Ran.IsZero() {
			runs = append(runs, try)
		}
		results[try.produced] = try.produced != ""
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Ran.Before(runs[j].Ran) })
	b.checkRuns(runs)
	for _, try := range tries {
		if try.Kind == Served && !results[try.Result] {
			b.note("lost", "%s was served %q, which no run of its key made", try.ID, try.Result)
		}
		if try.Kind == Refused {
			b.checkRefusal(try, runs)
		}
	}
}

// inWindow reports whether a try was written within the window of a run, in the same life of the image server.
func (b *Book) inWindow(try, run *Try) bool {
	return try.life == run.life && try.Written.Before(run.At.Add(b.Windows[run.Class]))
}

func (b *Book) checkRuns(runs []*Try) {
	for i, run := range runs {
		for _, earlier := range runs[:i] {
			if b.inWindow(run, earlier) {
				b.note("duplicate", "key %s was run by %s, and again by %s, written %d ms after it", run.Key, earlier.ID,
					run.ID, run.Written.Sub(earlier.At).Milliseconds())
			}
		}
	}
}

func (b *Book) checkRefusal(try *Try, runs []*Try) {
	for _, run := range runs {
		if run.Ran.Before(try.Written) && b.inWindow(try, run) {
			b.note("duplicate", "%s was refused though %s had run before it was written", try.ID, run.ID)
		}
	}
}

// Count returns how many tries had each kind of answer.
func (b *Book) Count() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for _, try := range b.order {
		kind := try.Kind
		switch {
		case kind != "":
		case try.gone:
			kind = "gone"
		default:
			kind = "none"
		}
		counts[kind]++
	}
	return counts
}
