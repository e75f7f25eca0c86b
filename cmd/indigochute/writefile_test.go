package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// faultyDisk is the file system of the operating system, but records each step and can make it fail. A failing step has no effect, except
// that a failing write writes half of the content.
type faultyDisk struct {
	systemDisk
	steps []string             // names of the steps so far
	fails func(index int) bool // reports whether the step at an index fails; nil: none fails
}

// step records a step and returns its error.
func (d *faultyDisk) step(name string) error {
	d.steps = append(d.steps, name)
	if d.fails != nil && d.fails(len(d.steps)-1) {
		return &fs.PathError{Op: name, Path: "injected", Err: syscall.EIO}
	}
	return nil
}

func (d *faultyDisk) CreateTemp(folder string) (temporary, error) {
	if err := d.step("create"); err != nil {
		return nil, err
	}
	file, err := d.systemDisk.CreateTemp(folder)
	return &faultyFile{file, d}, err
}

func (d *faultyDisk) Link(old, new string) error {
	if err := d.step("link"); err != nil {
		return err
	}
	return d.systemDisk.Link(old, new)
}

func (d *faultyDisk) Rename(old, new string) error {
	if err := d.step("rename"); err != nil {
		return err
	}
	return d.systemDisk.Rename(old, new)
}

func (d *faultyDisk) Remove(path string) error {
	if err := d.step("remove"); err != nil {
		return err
	}
	return d.systemDisk.Remove(path)
}

func (d *faultyDisk) SyncFolder(path string) error {
	if err := d.step("sync folder"); err != nil {
		return err
	}
	return d.systemDisk.SyncFolder(path)
}

// faultyFile is a temporary file of a faultyDisk.
type faultyFile struct {
	temporary
	disk *faultyDisk
}

func (f *faultyFile) Write(content []byte) (int, error) {
	if err := f.disk.step("write"); err != nil {
		written, _ := f.temporary.Write(content[:len(content)/2])
		return written, err
	}
	return f.temporary.Write(content)
}

func (f *faultyFile) Chmod(mode fs.FileMode) error {
	if err := f.disk.step("chmod"); err != nil {
		return err
	}
	return f.temporary.Chmod(mode)
}

func (f *faultyFile) Sync() error {
	if err := f.disk.step("sync"); err != nil {
		return err
	}
	return f.temporary.Sync()
}

// Close closes the file even if it returns an error, as Linux does.
func (f *faultyFile) Close() error {
	err := f.disk.step("close")
	return errors.Join(err, f.temporary.Close())
}

// writeCase is a way to call writeFile, with the steps that it takes if none fails.
type writeCase struct {
	name          string
	exists, force bool // the target exists before the call; it may be overwritten
	steps         []string
}

var (
	stepsToNewFile   = []string{"create", "write", "chmod", "sync", "close", "link", "remove", "sync folder"}
	stepsOverwriting = []string{"create", "write", "chmod", "sync", "close", "link", "rename", "sync folder", "remove"}
	writeCases       = []writeCase{
		{"to a new file", false, false, stepsToNewFile},
		{"to a new file, forced", false, true, stepsToNewFile},
		{"over a file", true, true, stepsOverwriting},
	}
)

// Contents of the files. The new content is longer than the old one.
const (
	oldContent    = "old content"
	newContent    = "new content, longer"
	sourceContent = "content of the source"
)

// writeFolder is a folder with the files for a call of writeFile.
type writeFolder struct {
	path, source, target string
}

// prepare creates the folder with the source and, if the case needs it, the target.
func (c writeCase) prepare(t *testing.T) writeFolder {
	t.Helper()
	path := t.TempDir()
	folder := writeFolder{path, filepath.Join(path, "source"), filepath.Join(path, "target")}
	if err := os.WriteFile(folder.source, []byte(sourceContent), 0o640); err != nil {
		t.Fatal(err)
	}
	if c.exists {
		if err := os.WriteFile(folder.target, []byte(oldContent), 0o604); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// before returns the content of the target and the names of the files in the folder before the call of writeFile.
func (c writeCase) before() (content, names string) {
	if c.exists {
		return oldContent, "source target"
	}
	return "", "source"
}

// content returns the content of a file, or "" if it does not exist.
func content(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return string(raw)
}

// names returns the names of the files in the folder, separated by spaces.
func (f writeFolder) names(t *testing.T) string {
	t.Helper()
	entries, err := os.ReadDir(f.path)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return strings.Join(names, " ")
}

// TestWriteFileSteps checks the steps of writeFile without faults. The target has the new content and the mode of the source.
func TestWriteFileSteps(t *testing.T) {
	for _, test := range writeCases {
		t.Run(test.name, func(t *testing.T) {
			folder := test.prepare(t)
			disk := &faultyDisk{}
			if err := writeFile(disk, folder.source, folder.target, []byte(newContent), test.force); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(disk.steps, test.steps) {
				t.Errorf("got steps %q, want %q", disk.steps, test.steps)
			}
			info, err := os.Stat(folder.target)
			if err != nil || info.Mode() != 0o640 || content(t, folder.target) != newContent || content(t, folder.source) != sourceContent {
				t.Errorf("got target %v, error %v and content %q, want mode 0640 and the new content", info, err, content(t, folder.target))
			}
			if names := folder.names(t); names != "source target" {
				t.Errorf("got files %s, want source and target", names)
			}
		})
	}
}

// TestWriteFileIsAtomic checks that if any one step fails, the target is unchanged, no other file is left, and the error names the step.
func TestWriteFileIsAtomic(t *testing.T) {
	for _, test := range writeCases {
		for failing, step := range test.steps {
			t.Run(fmt.Sprintf("%s, step %d, %s", test.name, failing, step), func(t *testing.T) {
				folder := test.prepare(t)
				disk := &faultyDisk{fails: func(index int) bool { return index == failing }}
				err := writeFile(disk, folder.source, folder.target, []byte(newContent), test.force)
				if !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), folder.target) || !strings.Contains(err.Error(), step) ||
					strings.Contains(err.Error(), "\n") || strings.Contains(err.Error(), "is left") {
					t.Errorf("got error %v, want one line with EIO, the target and the step", err)
				}
				if disk.steps[failing] != step {
					t.Errorf("got step %d %q, want the one of the test's name", failing, disk.steps[failing])
				}
				wantContent, wantNames := test.before()
				if content(t, folder.target) != wantContent || content(t, folder.source) != sourceContent {
					t.Errorf("got content %q of the target, want it unchanged", content(t, folder.target))
				}
				if names := folder.names(t); names != wantNames {
					t.Errorf("got files %s, want those before the call", names)
				}
			})
		}
	}
}

// TestWriteFileOnPersistentFault checks a disk on which every step from a given one on fails, so that nothing can be cleaned up. The old
// file is still complete, and the error names each file that is left. A kill at that step would leave the same files, so the target must be
// either the old file or the new one.
func TestWriteFileOnPersistentFault(t *testing.T) {
	for _, test := range writeCases {
		for firstFailing := range len(test.steps) + 1 { // in the last round no step fails
			t.Run(fmt.Sprintf("%s, step %d", test.name, firstFailing), func(t *testing.T) {
				testWriteFileOnPersistentFault(t, test,
					firstFailing)
			})
		}
	}
}

// testWriteFileOnPersistentFault calls writeFile on a disk on which every step from firstFailing on fails.
func testWriteFileOnPersistentFault(t *testing.T, test writeCase, firstFailing int) {
	folder := test.prepare(t)
	disk := &faultyDisk{fails: func(index int) bool { return index >= firstFailing }}
	err := writeFile(disk, folder.source, folder.target, []byte(newContent), test.force)
	old, _ := test.before()
	got := content(t, folder.target)
	if got != old && got != newContent || content(t, folder.source) != sourceContent {
		t.Fatalf("got content %q of the target, want the old or the new content", got)
	}
	if err == nil {
		if firstFailing < len(disk.steps) {
			t.Error("got no error, want one")
		}
		return
	}
	oldExists := old == "" || got == old
	for name := range strings.FieldsSeq(folder.names(t)) {
		path := filepath.Join(folder.path, name)
		if name != "source" && name != "target" && !strings.Contains(err.Error(), path) {
			t.Errorf("%s is left, but the error does not name it: %v", name, err)
		}
		oldExists = oldExists || name != "source" && content(t, path) == old
	}
	if !oldExists {
		t.Errorf("the old file is lost, got files %s", folder.names(t))
	}
}

// TestWriteFileKeepsConcurrentlyCreatedTarget checks that writeFile does not overwrite a target that appears while it writes the new file.
func TestWriteFileKeepsConcurrentlyCreatedTarget(t *testing.T) {
	folder := writeCase{}.prepare(t)
	disk := &faultyDisk{}
	disk.fails = func(index int) bool {
		if disk.steps[index] == "link" {
			os.WriteFile(folder.target, []byte(oldContent), 0o600)
		}
		return false
	}
	err := writeFile(disk, folder.source, folder.target, []byte(newContent), false)
	if !errors.Is(err, fs.ErrExist) || content(t, folder.target) != oldContent {
		t.Errorf("got error %v and content %q of the target, want fs.ErrExist and %q", err, content(t, folder.target), oldContent)
	}
	if names := folder.names(t); names != "source target" {
		t.Errorf("got files %s, want source and target", names)
	}
}
