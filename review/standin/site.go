package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 30 * time.Second  // as the pages have it
	caseTimeout  = 110 * time.Second // for a whole case
	folderMode   = 0o700
	arguments    = 2 // of the program: the repository's root and the folder of the case
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// ErrCase reports that a case could not run.
var ErrCase = errors.New("the case could not run")

// Must ends a case that could not run: Main then exits with 2.
func Must(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", ErrCase, err))
	}
}

// Site is what every case needs: a record, a temporary folder, and the parties of image servers.
type Site struct {
	Root     string
	Record   *Record
	Folder   string // temporary
	Store    *Store
	Announce *Announce
	Trouble  bool // the disruption takes place

	mu        sync.Mutex
	agents    []*Agent
	machines  []*Machine
	processes []*Process
}

// Main runs a case and exits with its verdict: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func Main(run func(*Site) (broken bool)) {
	if len(os.Args) != 1+arguments {
		fmt.Println("want the repository and the folder of the case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], run))
}

func runCase(root, folder string, run func(*Site) (broken bool)) (code int) {
	site := newSite(root, folder)
	defer site.close()
	ended := make(chan int, 1)
	go func() { ended <- site.verdict(run) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code = <-ended:
		return code
	case <-stopped:
		site.Record.Say("stopped by a signal")
	case <-time.After(caseTimeout):
		site.Record.Say("not over after %v", caseTimeout)
	}
	return exitNotRun
}

// verdict runs the case and returns its exit code.
func (s *Site) verdict(run func(*Site) (broken bool)) (code int) {
	defer func() {
		if failure, ok := recover().(error); ok {
			s.Record.Say("%v", failure)
			code = exitNotRun
		}
	}()
	if run(s) {
		return exitBroken
	}
	return exitHeld
}

// newSite returns a site whose store is not serving yet.
func newSite(root, caseFolder string) *Site {
	record, err := NewRecord(caseFolder)
	Must(err)
	folder, err := os.MkdirTemp("", "review")
	Must(err)
	return &Site{
		Root: root, Record: record, Folder: folder, Announce: NewAnnounce(record),
		Store:   &Store{Record: record, Stays: 200 * time.Millisecond},
		Trouble: os.Getenv("TROUBLE") != "0",
	}
}

// AddMachine returns a machine for an image server.
func (s *Site) AddMachine(cores int, speed float64) *Machine {
	machine := NewMachine(cores, speed)
	s.machines = append(s.machines, machine)
	return machine
}

// AddAgent starts an agent.
func (s *Site) AddAgent(agent *Agent) {
	agent.Record = s.Record
	agent.Serve()
	s.agents = append(s.agents, agent)
}

// MakeFolder makes a folder within the temporary one.
func (s *Site) MakeFolder(name string) string {
	path := filepath.Join(s.Folder, name)
	Must(os.Mkdir(path, folderMode))
	return path
}

// Launch starts a process of an image server and waits until it is ready.
func (s *Site) Launch(start *Start) *Process {
	s.mu.Lock()
	number := len(s.processes) + 1
	start.Root = s.Root
	start.Folder = s.MakeFolder(fmt.Sprintf("process%d", number))
	if start.TempDir == "" {
		start.TempDir = s.Folder
	}
	start.Console = FreeAddress()
	process := start.launch()
	s.processes = append(s.processes, process)
	s.mu.Unlock()
	s.Record.Add("process %d of the program started, pid %d", number, process.cmd.Process.Pid)
	waitReady(start.Console, readyTimeout)
	s.Record.Add("process %d is ready", number)
	return process
}

// close ends all that the site has started, and closes the record.
func (s *Site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range s.processes {
		process.stop()
	}
	for i := range s.processes {
		s.keepLog(i + 1)
	}
	for _, agent := range s.agents {
		agent.Close()
	}
	s.Store.Close()
	s.Announce.Close()
	for _, machine := range s.machines {
		machine.Close()
	}
	s.Record.Close()
	_ = os.RemoveAll(s.Folder) //nolint:gosec // made by newSite; a leftover does no harm
}

// keepLog adds the log of a process to the record, without the names of folders.
func (s *Site) keepLog(number int) {
	text, err := os.ReadFile(filepath.Join(s.Folder, fmt.Sprintf("process%d", number), logFile)) //nolint:gosec // its own
	if err == nil {
		names := strings.NewReplacer(s.Folder, "FOLDER", s.Root, "ROOT")
		s.Record.Add("log of process %d:\n%s", number, names.Replace(string(text)))
	}
}
