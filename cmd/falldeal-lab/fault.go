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
	maxFaultBytes  = 4096 // of a fault, JSON, or of the error that answers it
	controlTimeout = 5 * time.Second
)

// serveControl takes faults over HTTP until ctx ends.
func serveControl(ctx context.Context, lab *fleetlab.Lab) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(response http.ResponseWriter, request *http.Request) {
		if err := takeFault(lab, request.Body); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
		}
	}
	server := &http.Server{ReadTimeout: controlTimeout, Handler: http.HandlerFunc(handler)}
	go func() { _ = server.Serve(listener) }() // always an error, that of the end
	context.AfterFunc(ctx, func() {
		_ = server.Close() // the program ends
	})
	return listener.Addr().String(), nil
}

// takeFault has a fault, JSON, start now. A fault of a link without another end is one of all links.
func takeFault(lab *fleetlab.Lab, body io.Reader) error {
	var fault faults.Fault
	if err := json.NewDecoder(io.LimitReader(body, maxFaultBytes)).Decode(&fault); err != nil {
		return err
	}
	fault.Start = lab.Log.Now()
	if fault.AffectsLink() && fault.Peer == "" {
		fault.Peer = faults.AllMembers
	}
	return lab.AddFault(fault)
}

// sendFault sends the fault of opts to a fleet that runs.
func sendFault(opts *options) error {
	if opts.controlAddr == "" {
		return errors.New("flag --lab: missing")
	}
	fault := opts.fault
	fault.Duration = opts.duration
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+opts.controlAddr, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxFaultBytes)) // what has come, if it is cut short
		return fmt.Errorf("fault: %s", strings.TrimSpace(string(reason)))
	}
	return nil
}
