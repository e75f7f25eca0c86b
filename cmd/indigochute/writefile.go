package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// fileSystem contains the file operations that writeFile needs. Tests replace it with one in which any operation can fail.
type fileSystem interface {
	Stat(path string) (fs.FileInfo, error)
	Lstat(path string) (fs.FileInfo, error)
	CreateTemp(folder string) (temporary, error)
	Link(old, new string) error
	Rename(old, new string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// temporary is a file that does not have its final name yet.
type temporary interface {
	Name() string
	Write([]byte) (int, error)
	Chmod(fs.FileMode) error
	Sync() error
	Close() error
}

// writeFile atomically writes content, which was converted from the file at source, to the file at target.
//
//   - It never overwrites the source. It overwrites any other existing file only if force is set.
//   - If it returns an error, the target is unchanged and no other file is left in the folder. If it cannot remove its own files, the error
//     names those that are left.
//   - If the process is killed at any step, the target is either the old file or the new one, and complete. A file .migrate-* may be left
//     in the same folder.
//   - After it has returned nil, the target survives a power failure, because the file and its folder are synced.
func writeFile(disk fileSystem, source, target string, content []byte, force bool) error {
	sourceInfo, err := disk.Stat(source)
	if err != nil {
		return err
	}
	switch targetInfo, err := disk.Stat(target); {
	case err == nil && os.SameFile(sourceInfo, targetInfo):
		return fmt.Errorf("%s: is the source file, which is never changed", target)
	case err == nil && !force:
		return fmt.Errorf("%s: already exists; use --force to overwrite it", target)
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return err
	}
	written, err := writeTemporary(disk, filepath.Dir(target), content, sourceInfo.Mode().Perm())
	if err != nil {
		return fmt.Errorf("%s: not written: %w", target, err)
	}
	if force {
		err = replaceTarget(disk, written, target)
	} else {
		err = linkTarget(disk, written, target)
	}
	if err != nil {
		return fmt.Errorf("%s: not written: %w", target, err)
	}
	return nil
}

// writeTemporary writes and syncs a temporary file in a folder. It returns the path of the file.
func writeTemporary(disk fileSystem, folder string, content []byte, mode fs.FileMode) (path string, err error) {
	file, err := disk.CreateTemp(folder)
	if err != nil {
		return "", err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Chmod(mode)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return "", withCleanup(err, remove(disk, file.Name()))
	}
	return file.Name(), nil
}

// linkTarget gives a temporary file its final name. It uses a hard link, since a rename would overwrite a file that has appeared under that
// name in the meantime; that is an error instead.
func linkTarget(disk fileSystem, written, target string) error {
	if err := disk.Link(written, target); err != nil {
		return withCleanup(err, remove(disk, written))
	}
	if err := disk.Remove(written); err != nil {
		return withCleanup(err, remove(disk, written), remove(disk, target))
	}
	if err := syncFolder(disk, target); err != nil {
		return withCleanup(err, remove(disk, target))
	}
	return nil
}

// replaceTarget replaces the target with a temporary file. The old file keeps a second name until the folder is synced, so that it can be
// restored if a step fails.
func replaceTarget(disk fileSystem, written, target string) error {
	if _, err := disk.Lstat(target); errors.Is(err, fs.ErrNotExist) {
		return linkTarget(disk, written, target)
	}
	spare := written + ".old"
	if err := disk.Link(target, spare); err != nil {
		return withCleanup(err, remove(disk, written))
	}
	if err := disk.Rename(written, target); err != nil {
		return withCleanup(err, remove(disk, written), remove(disk, spare))
	}
	err := syncFolder(disk, target)
	if err == nil {
		err = disk.Remove(spare)
	}
	if err != nil {
		return withCleanup(err, restore(disk, spare, target))
	}
	return nil
}

// remove removes a file. Its error names the file that is left.
func remove(disk fileSystem, path string) error {
	if err := disk.Remove(path); err != nil {
		return fmt.Errorf("%s is left in place: %w", path, err)
	}
	return nil
}

// restore renames the old file back to its original name. Its error says where the old file is.
func restore(disk fileSystem, spare, target string) error {
	if err := disk.Rename(spare, target); err != nil {
		return fmt.Errorf("%s is the new file, and the complete old one is left as %s: %w", target, spare, err)
	}
	return nil
}

// syncFolder syncs the folder that contains a path.
func syncFolder(disk fileSystem, path string) error {
	folder := filepath.Dir(path)
	if err := disk.SyncFolder(folder); err != nil {
		return fmt.Errorf("sync of folder %s: %w", folder, err)
	}
	return nil
}

// withCleanup joins an error with the errors of the cleanup after it, on one line. It skips nil errors.
func withCleanup(err error, cleanupErrs ...error) error {
	for _, cleanupErr := range cleanupErrs {
		if cleanupErr != nil {
			err = fmt.Errorf("%w; %w", err, cleanupErr)
		}
	}
	return err
}

// systemDisk is the file system of the operating system.
type systemDisk struct{}

func (systemDisk) Stat(path string) (fs.FileInfo, error)  { return os.Stat(path) }
func (systemDisk) Lstat(path string) (fs.FileInfo, error) { return os.Lstat(path) }
func (systemDisk) Link(old, new string) error             { return os.Link(old, new) }
func (systemDisk) Rename(old, new string) error           { return os.Rename(old, new) }
func (systemDisk) Remove(path string) error               { return os.Remove(path) }

// temporaryPattern is the pattern for the names of temporary files, see os.CreateTemp.
const temporaryPattern = ".migrate-*"

func (systemDisk) CreateTemp(folder string) (temporary, error) {
	return os.CreateTemp(folder, temporaryPattern)
}

// SyncFolder syncs a folder. It returns nil if the folder cannot be synced because this process has no permission to read it or its file
// system does not support syncs.
func (systemDisk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if errors.Is(err, fs.ErrPermission) {
		return nil
	}
	if err != nil {
		return err
	}
	defer folder.Close()
	err = folder.Sync()
	if unsupported := errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP); unsupported {
		return nil
	}
	return err
}
