package docscheck

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// program is the built program. Its commands and flags are read from its help texts.
type program struct {
	path      string              // path of the executable
	commands  map[string]*command // commands that were looked up, by the words of the look-up
	allListed bool                // commands has all commands of the program
}

// command is a command of the program, as its help describes it.
type command struct {
	words            []string // path of the command, such as plan, need
	acceptsArguments bool     // it accepts arguments other than subcommands
	values           []string // accepted arguments; empty: any
	help             string   // help text
}

// programName is the name of the program and of its folder in cmd/.
const programName = "indigochute"

// programFolder is the folder in which the program is built. TestMain sets it.
var programFolder string

// buildProgram builds the program.
func buildProgram(t *testing.T) *program {
	t.Helper()
	p := &program{path: filepath.Join(programFolder, programName), commands: map[string]*command{}}
	if out, err := exec.Command("go", "build", "-o", p.path, root+"/cmd/"+programName).CombinedOutput(); err != nil {
		t.Fatalf("the program cannot be built: %v\n%s", err, out)
	}
	return p
}

// command returns the command that the first words name. All other words are arguments of that command.
func (p *program) command(words []string) (*command, error) {
	key := strings.Join(words, " ")
	if c, ok := p.commands[key]; ok {
		return c, nil
	}
	out, err := exec.Command(p.path, append(append([]string{}, words...), "--help")...).Output()
	if err != nil {
		return nil, fmt.Errorf("%s %s --help: %w", programName, key, err)
	}
	c := &command{help: string(out)}
	c.readUsage(words)
	if c.acceptsArguments {
		c.values = p.values(c.words)
	}
	if list := strings.Join(append(c.words, "list"), " "); len(c.words) > 0 && strings.Contains(c.help, list) {
		c.values = append(p.listed(c.words), "list")
	}
	p.commands[key] = c
	return c, nil
}

// readUsage reads the usage line of the command's help. It sets the path of the command to the part of that line that matches the words of
// the look-up, and determines whether the command accepts arguments.
func (c *command) readUsage(words []string) {
	_, usage, _ := strings.Cut(c.help, "Usage:\n")
	usage, _, _ = strings.Cut(usage, "\n")
	fields := strings.Fields(usage)
	if len(fields) == 0 {
		return
	}
	for i, field := range fields[1:] { // the first one is the program
		if i >= len(words) || field != words[i] {
			c.acceptsArguments = field != "[flags]" && !strings.HasPrefix(field, "-")
			return
		}
		c.words = append(c.words, field)
	}
}

// values returns the arguments that the program suggests for shell completion.
func (p *program) values(words []string) (list []string) {
	out, err := exec.Command(p.path, append(append([]string{"__complete"}, words...), "")...).Output()
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(out), "\n") {
		value, _, _ := strings.Cut(line, "\t")
		if value == "" || strings.HasPrefix(value, ":") {
			continue
		}
		list = append(list, value)
	}
	return list
}

// listed returns the arguments that a command prints when it is called with "list": the first word of each line.
func (p *program) listed(words []string) (list []string) {
	out, err := exec.Command(p.path, append(append([]string{}, words...), "list")...).Output()
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(out), "\n") {
		if fields := strings.Fields(line); len(fields) > 0 {
			list = append(list, fields[0])
		}
	}
	return list
}

// accepts reports whether the command accepts an argument.
func (c *command) accepts(argument string) bool {
	return c.acceptsArguments && (len(c.values) == 0 || slices.Contains(c.values, argument))
}

// hasFlag reports whether the help of the command lists a flag, given with its dashes.
func (c *command) hasFlag(flag string) bool {
	return regexp.MustCompile(`(?m)^ +(-[a-z], |    )` + regexp.QuoteMeta(flag) + `[ \[\n]`).MatchString(c.help)
}

// isCommand reports whether a word is a command of the first level.
func (p *program) isCommand(word string) bool {
	c, err := p.command([]string{word})
	return err == nil && len(c.words) == 1
}

// all returns the commands that the program lists with their subcommands, and the hidden ones that pages name.
func (p *program) all() (list []*command) {
	if p.allListed {
		for _, c := range p.commands {
			list = append(list, c)
		}
		return list
	}
	p.allListed = true
	var visit func(words []string)
	visit = func(words []string) {
		c, err := p.command(words)
		if err != nil || len(c.words) != len(words) {
			return
		}
		for _, name := range subCommands(c.help) {
			visit(append(append([]string{}, words...), name))
		}
	}
	visit(nil)
	visit([]string{"hollow"})
	return p.all()
}

// subCommands returns the subcommands that a help text lists.
func subCommands(help string) (names []string) {
	_, list, _ := strings.Cut(help, "Available Commands:\n")
	list, _, _ = strings.Cut(list, "\n\n")
	for _, line := range strings.Split(list, "\n") {
		if fields := strings.Fields(line); len(fields) > 0 {
			names = append(names, fields[0])
		}
	}
	return names
}
