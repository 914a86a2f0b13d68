package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
)

const (
	maxFaultBytes  = 4096            // of the JSON of a fault, and of an error response
	controlTimeout = 5 * time.Second // bounds the read of a request
)

// serveControl serves an HTTP endpoint that accepts faults until ctx ends. It returns the address of the endpoint.
func serveControl(ctx context.Context, lab *fleetlab.Lab) (addr string, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for faults: %w", err)
	}
	handler := func(response http.ResponseWriter, request *http.Request) {
		if err := injectFault(lab, request.Body); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
		}
	}
	server := &http.Server{ReadTimeout: controlTimeout, Handler: http.HandlerFunc(handler)}
	go func() { _ = server.Serve(listener) }() // always returns an error, after Close ErrServerClosed
	context.AfterFunc(ctx, func() {
		_ = server.Close() // the laboratory is closing
	})
	return listener.Addr().String(), nil
}

// injectFault decodes a fault from JSON and starts it now. A link fault without a peer affects all links of its
// target.
func injectFault(lab *fleetlab.Lab, body io.Reader) error {
	var fault faults.Fault
	if err := json.NewDecoder(io.LimitReader(body, maxFaultBytes)).Decode(&fault); err != nil {
		return fmt.Errorf("decode fault: %w", err)
	}
	fault.Start = lab.Log.Now()
	if fault.AffectsLink() && fault.Peer == "" {
		fault.Peer = faults.AllMembers
	}
	return addFault(lab, fault)
}

// sendFault sends the fault of opts to the control address of a running fleet.
func sendFault(ctx context.Context, opts *options) error {
	if opts.controlAddr == "" {
		return errors.New("flag --lab: missing")
	}
	fault := opts.fault
	fault.Duration = opts.duration
	body, err := json.Marshal(fault)
	if err != nil {
		return fmt.Errorf("encode fault: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+opts.controlAddr, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("flag --lab: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send fault: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxFaultBytes)) // on a read error, the part that was read
		return fmt.Errorf("fault rejected: %s", strings.TrimSpace(string(reason)))
	}
	return nil
}
