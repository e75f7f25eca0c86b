package capture

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// Create starts a capture in a new file. It never overwrites an existing file, which may be the only record of a failure. If Create fails,
// it removes the file that it has created, so that it can be called again. Zone and cpu are as for NewWriter.
func Create(path string, header Header, zone int, cpu func() time.Duration) (*Writer, error) {
	return createIn(systemFolder{}, path, header, zone, cpu)
}

// captureFolder contains the file operations that Create needs. Tests replace it with one in which operations fail.
type captureFolder interface {
	// Create creates a new file. It returns an error if the file exists.
	Create(path string) (io.Writer, error)
	// Remove removes a file.
	Remove(path string) error
	// Sync syncs the folder that contains the path, so that a new file in it survives a power failure.
	Sync(path string) error
}

// createIn implements Create for any captureFolder.
func createIn(folder captureFolder, path string, header Header, zone int, cpu func() time.Duration) (*Writer, error) {
	file, err := folder.Create(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	writer, err := startIn(folder, path, file, header, zone, cpu)
	if err == nil {
		return writer, nil
	}
	if closer, ok := file.(io.Closer); ok {
		closer.Close()
	}
	if removeErr := folder.Remove(path); removeErr != nil {
		err = fmt.Errorf("%w; the incomplete file is left in place: %w", err, removeErr)
	}
	return nil, err
}

// startIn syncs the folder of a new file and starts a writer, which writes the header.
func startIn(folder captureFolder, path string, file io.Writer, header Header, zone int, cpu func() time.Duration) (*Writer, error) {
	if err := folder.Sync(path); err != nil {
		return nil, fmt.Errorf("capture: sync of the folder of %s: %w", path, err)
	}
	return NewWriter(file, header, zone, cpu)
}

// systemFolder is the file system of the operating system.
type systemFolder struct{}

// Create creates a new file. It returns an error if the file exists.
func (systemFolder) Create(path string) (io.Writer, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
}

// Remove removes a file.
func (systemFolder) Remove(path string) error { return os.Remove(path) }

// Sync syncs the folder that contains the path. It returns nil if the folder cannot be synced because this process has no permission to
// read it or its file system does not support syncs.
func (systemFolder) Sync(path string) error {
	folder, err := os.Open(filepath.Dir(path))
	if errors.Is(err, fs.ErrPermission) {
		return nil
	}
	if err != nil {
		return err
	}
	defer folder.Close()
	return ignoreUnsupported(folder.Sync())
}
