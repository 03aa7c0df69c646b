package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cactusspoke/internal/cli"

	"github.com/stretchr/testify/require"
)

// TestWrongArguments checks that each kind of invalid command line yields a
// one-line error and the documented exit code.
func TestWrongArguments(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.json")
	require.NoError(t, os.WriteFile(empty, []byte("{}"), 0o600))
	tests := []struct {
		name, args, want string
		code             int
	}{
		{"unknown command", "nonsense", `there is no command "nonsense"`, 2},
		{"unknown command below a group", "profile nonsense", `there is no command "nonsense"`, 2},
		{"unknown flag", "status --nonsense", "flag provided but not defined", 2},
		{"missing flag", "profile edit x", "Required flag", 2},
		{"no argument", "settings check", "takes one argument", 2},
		{"no such file", "settings check /no/such/file", "no such file", 1},
		{"empty settings", "run --settings " + empty, "instance: is missing", 1},
		{"profile file does not exist", "profile put --settings " + empty + " /no/such/profile", "no such file", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := cli.Main(append([]string{"cactusspoke"}, strings.Fields(test.args)...), &out, &errOut)
			require.Equal(t, test.code, code, errOut.String())
			require.Contains(t, errOut.String(), test.want)
			require.Len(t, strings.Split(strings.TrimSpace(errOut.String()), "\n"), 1, errOut.String())
		})
	}
}
