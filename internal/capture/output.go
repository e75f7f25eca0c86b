package capture

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"syscall"
)

// truncatable is a file from which a torn frame can be cut off.
type truncatable interface {
	io.Seeker
	Truncate(size int64) error
}

// fileOutput writes frames to a file whose writes may fail for a while, for example because of a full disk, a device fault or short writes.
// A torn frame, of which only a part was written, is cut off, so that the file ends with a complete frame. If that fails too, or the file
// cannot be truncated, the next frame is written after the torn one, and readers resume at its magic.
type fileOutput struct {
	out         io.Writer
	file        truncatable // the same file as out; nil: it cannot be truncated
	completeEnd int64       // offset at which the last complete frame ends
	position    int64       // offset of the next write
	firstFault  error       // first error of the file; nil: none so far
}

// newFileOutput returns an output that writes to out, from its current position.
func newFileOutput(out io.Writer) *fileOutput {
	o := &fileOutput{out: out}
	file, ok := out.(truncatable)
	if !ok {
		return o
	}
	position, err := file.Seek(0, io.SeekCurrent)
	if err != nil {
		return o // out has no position; it is a pipe, for example
	}
	o.file = file
	o.completeEnd = position
	o.position = position
	return o
}

// writeFrame writes a frame. It reports whether the whole frame was written.
func (o *fileOutput) writeFrame(frame []byte) bool {
	o.truncateTorn() // an earlier truncation may have failed
	written, err := writeAll(o.out, frame)
	o.position += int64(written)
	if err != nil {
		o.recordFault(err)
	}
	if written < len(frame) {
		o.truncateTorn()
		return false
	}
	o.completeEnd = o.position
	return true
}

// truncateTorn truncates the file after its last complete frame if anything follows that.
func (o *fileOutput) truncateTorn() {
	if o.file == nil || o.position == o.completeEnd {
		return
	}
	if err := o.file.Truncate(o.completeEnd); err != nil {
		o.recordFault(err)
		return
	}
	if _, err := o.file.Seek(o.completeEnd, io.SeekStart); err != nil {
		o.recordFault(err)
		return
	}
	o.position = o.completeEnd
}

// recordFault stores the first error of the file.
func (o *fileOutput) recordFault(err error) {
	if o.firstFault == nil {
		o.firstFault = err
	}
}

// close syncs and closes the file if it has these methods. It does not retry a failed sync, because a second sync may succeed although data
// from before the first one is lost.
func (o *fileOutput) close() error {
	var syncErr, closeErr error
	if syncer, ok := o.out.(interface{ Sync() error }); ok {
		syncErr = ignoreUnsupported(syncer.Sync())
	}
	if closer, ok := o.out.(io.Closer); ok {
		closeErr = closer.Close()
	}
	err := cmp.Or(syncErr, closeErr)
	if syncErr != nil && closeErr != nil {
		err = fmt.Errorf("%w; %w", syncErr, closeErr) // errors.Join would put the errors on two lines of the log
	}
	if err != nil {
		o.recordFault(err)
	}
	return err
}

// writeAll writes all of content. It continues after a write that accepts only a part without an error. It returns the number of bytes
// written.
func writeAll(out io.Writer, content []byte) (written int, err error) {
	for written < len(content) {
		accepted, err := out.Write(content[written:])
		written += accepted
		if err != nil {
			return written, err
		}
		if accepted == 0 {
			return written, io.ErrShortWrite
		}
	}
	return written, nil
}

// ignoreUnsupported returns the error of a sync, or nil if the error means that a file or folder of this kind cannot be synced.
func ignoreUnsupported(err error) error {
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP) {
		return nil
	}
	return err
}
