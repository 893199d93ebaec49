package ringlog

import (
	"log/slog"
	"strings"
	"testing"
)

// The ring keeps the newest lines, the oldest first. Loggers that are derived from the same ring
// write to the same lines. Each kept line is also written to echo.
func TestKeepsNewestLines(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(log *slog.Logger)
		want  []string
	}{
		{"nothing written", func(*slog.Logger) {}, nil},
		{"fewer lines than its size", func(log *slog.Logger) { log.Info("a"); log.Info("b") }, []string{"msg=a", "msg=b"}},
		{"more lines than its size", func(log *slog.Logger) { log.Info("a"); log.Info("b"); log.Info("c"); log.Info("d") }, []string{"msg=b", "msg=c", "msg=d"}},
		{"debug lines", func(log *slog.Logger) { log.Debug("a"); log.Info("b") }, []string{"msg=b"}},
		{"lines of derived loggers", func(log *slog.Logger) {
			log.With("part", 1).Info("a")
			log.WithGroup("g").Info("b", "k", 2)
		}, []string{"msg=a part=1", "msg=b g.k=2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var echo, kept strings.Builder
			ring := New(3, &echo)
			c.write(slog.New(ring))
			if _, err := ring.WriteTo(&kept); err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSuffix(kept.String(), "\n"), "\n")
			if kept.String() == "" {
				lines = nil
			}
			if len(lines) != len(c.want) {
				t.Fatalf("kept lines %q, want lines that end with %q", lines, c.want)
			}
			for i, want := range c.want {
				if !strings.HasSuffix(lines[i], want) {
					t.Errorf("line %d is %q, want it to end with %q", i, lines[i], want)
				}
			}
			if !strings.HasSuffix(echo.String(), kept.String()) {
				t.Errorf("echoed %q, want it to end with the kept lines %q", echo.String(), kept.String())
			}
		})
	}
}
