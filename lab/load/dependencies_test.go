package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"falldeal/lab/fakes"
)

// runAsDependencies is the environment variable that makes the test program serve the fakes and generate the load.
// They run in their own process, so that the CPU time and profile of the test process are those of the server alone.
const runAsDependencies = "FALLDEAL_BENCH_DEPENDENCIES"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDependencies) == "" {
		os.Exit(m.Run())
	}
	if err := serveDependencies(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// addresses are the addresses of the fakes, which their process writes to its standard output.
type addresses struct{ Agent, Store, Announce string }

// serveDependencies starts the fakes and writes their addresses to out. It then runs each plan that it reads from in
// and writes the report, until in ends.
func serveDependencies(in io.Reader, out io.Writer) error {
	addrs, err := startFakes(context.Background())
	if err != nil {
		return err
	}
	encoder, decoder := json.NewEncoder(out), json.NewDecoder(in)
	if err := encoder.Encode(addrs); err != nil {
		return err
	}
	for {
		var plan Plan
		if decoder.Decode(&plan) != nil {
			return nil // the test process has closed the pipe
		}
		report, err := Run(context.Background(), plan)
		if err != nil {
			return err
		}
		if err := encoder.Encode(report); err != nil {
			return err
		}
	}
}

// startFakes starts the fakes, which run until the process ends.
func startFakes(ctx context.Context) (addresses, error) {
	var config net.ListenConfig
	agentListener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return addresses{}, err
	}
	storeListener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return addresses{}, err
	}
	announceConn, err := config.ListenPacket(ctx, "udp", "127.0.0.1:0")
	if err != nil {
		return addresses{}, err
	}
	agent := &fakes.Agent{State: "steady", Age: time.Hour, Load: [4]float64{0.02, 0, 0.1, 10}, PlanRun: planRun}
	go func() { _ = agent.Serve(agentListener) }()
	go func() { _ = (&fakes.Store{}).Serve(storeListener) }()
	go func() { _ = (&fakes.AnnounceService{}).Serve(announceConn) }()
	return addresses{
		Agent:    agentListener.Addr().String(),
		Store:    storeListener.Addr().String(),
		Announce: announceConn.LocalAddr().String(),
	}, nil
}

// planRun returns a plan with a call of 96 bytes for the class preview, and one that succeeds at once for other
// classes.
func planRun(launch fakes.Launch) fakes.RunPlan {
	if launch.Class == "preview" {
		return fakes.RunPlan{Call: make([]byte, 96)}
	}
	return fakes.RunPlan{}
}
