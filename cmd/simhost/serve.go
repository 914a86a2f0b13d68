package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"falldeal/wire"
)

const (
	replyEnd         = "FINISHED\n" // last line of each reply
	replyBufferBytes = 64 << 10
)

// serve replies on out to the batches read from in, until in ends.
func serve(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), bufio.NewWriterSize(out, replyBufferBytes)
	nodes := newHost()
	var batch wire.Batch
	for {
		err := reader.Read(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err //nolint:wrapcheck // it names the line and the field
		}
		reply, err := nodes.handle(&batch)
		if err != nil {
			return err
		}
		if err := write(writer, reply); err != nil {
			return err
		}
	}
}

// write writes a reply and flushes it, since the simulator waits for it.
func write(writer *bufio.Writer, reply []byte) error {
	if _, err := writer.Write(reply); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
