package peers

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	startLimit = 15 * time.Second  // for an image server to get ready
	playLimit  = 110 * time.Second // for a whole play
	maxFolder  = 80                // bytes of the path of TMPDIR
)

// How a play ends, for the script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Play is one play of a case: an image server with all that it talks to.
type Play struct {
	Trouble  bool // false: the play leaves its disruption out
	Record   *Record
	Book     *Book
	Settings Settings
	Store    *Store
	Announce *Announce
	At       Addresses // of the image server's first process

	root, folder string
	agents       []*Agent
	servers      []*Server
	listening    *os.File
}

// Main runs a case in the current folder and ends the program. prepare may change the settings and the sizes of the
// book before anything starts; play returns an error if the case could not run. The arguments of the program are the
// root of the repository and the path of the record.
func Main(prepare func(*Play), play func(*Play) error) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], prepare, play))
}

func run(root, recordPath string, prepare func(*Play), play func(*Play) error) int {
	record, err := NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if len(folder) > maxFolder {
		fmt.Fprintln(os.Stderr, "the path of the temporary folder is too long for a Unix socket")
		return exitFailed
	}
	stage := &Play{Trouble: os.Getenv("TROUBLE") != "0", Record: record, Settings: StandardSettings(), root: root,
		folder: folder}
	defer stage.end()
	ended := make(chan error, 1)
	go func() { ended <- stage.play(prepare, play) }()
	select {
	case err = <-ended:
	case <-time.After(playLimit):
		err = errors.New("the play took too long")
	}
	return stage.verdict(err)
}

func (p *Play) play(prepare func(*Play), play func(*Play) error) error {
	p.Book = NewBook(p.Record, nil)
	prepare(p)
	p.Book.setClasses(p.Settings.Classes)
	p.Book.OnOver = func(id string) {
		for _, agent := range p.Agents() {
			agent.Over(id)
		}
	}
	p.Store = &Store{Record: p.Record, Book: p.Book}
	p.Announce = &Announce{}
	var err error
	if p.At.Store, _, err = p.Store.Serve(""); err != nil {
		return err
	}
	if p.At.Announce, err = p.Announce.Serve(); err != nil {
		return err
	}
	p.At.Name = "n1"
	return play(p)
}

// verdict closes the book, and prints and records what was broken.
func (p *Play) verdict(err error) int {
	if err != nil {
		p.Record.Add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	broken := p.Book.Close()
	p.Record.Add("answers: %v, rules broken: %d", p.Book.Count(), len(broken))
	fmt.Println("answers:", p.Book.Count(), "rules broken:", len(broken))
	const shown = 10
	for _, line := range broken[:min(shown, len(broken))] {
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// end ends all processes.
func (p *Play) end() {
	for _, server := range p.servers {
		server.Kill()
		if line := server.Panicked(); line != "" {
			p.Record.Add("log: %s", line)
		}
	}
}

// Agents returns the agents so far.
func (p *Play) Agents() []*Agent {
	p.Book.mu.Lock()
	defer p.Book.mu.Unlock()
	return append([]*Agent(nil), p.agents...)
}

// NewAgent starts an agent whose runs take the given time.
func (p *Play) NewAgent(work func(id, class string) time.Duration) (*Agent, string, error) {
	agent := &Agent{Record: p.Record, Book: p.Book, Work: work}
	p.Book.mu.Lock()
	p.agents = append(p.agents, agent)
	p.Book.mu.Unlock()
	at, _, err := agent.Serve("")
	return agent, at, err
}

// Start starts an image server that has no agent but the given one, and waits until it is healthy.
func (p *Play) Start(agentAt string) (*Server, error) {
	var err error
	if p.At.Listen, err = FreeAddress(); err != nil {
		return nil, err
	}
	p.At.Agent = agentAt
	server, err := p.start(p.At, nil)
	if err != nil {
		return nil, err
	}
	return server, server.WaitHealthy(startLimit)
}

// StartInherited starts a process of the image server on the listening socket that the platform holds, and waits until
// its console says that it serves.
func (p *Play) StartInherited(agentAt string) (*Server, error) {
	var err error
	if p.listening == nil {
		if p.At.Listen, p.listening, err = Inherit(); err != nil {
			return nil, err
		}
	}
	if p.At.Console, err = FreeAddress(); err != nil {
		return nil, err
	}
	p.At.Agent = agentAt
	server, err := p.start(p.At, p.listening)
	if err != nil {
		return nil, err
	}
	return server, server.WaitReady(startLimit)
}

func (p *Play) start(at Addresses, inherited *os.File) (*Server, error) {
	server, err := Start(p.root, p.folder, &p.Settings, at, inherited)
	if err != nil {
		return nil, err
	}
	p.servers = append(p.servers, server)
	p.Record.Add("process %d started", server.PID())
	return server, nil
}

// CopyLogs adds the log lines of all processes that contain one of the words to the record.
func (p *Play) CopyLogs(words ...string) {
	for _, server := range p.servers {
		for _, line := range server.lines(words) {
			p.Record.Add("log of %s: %s", filepath.Base(server.Log), line)
		}
	}
}
