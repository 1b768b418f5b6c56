package cmd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pipeLength is the number of bytes after which a pipe takes no more.
const pipeLength = 64 << 10

// startForward starts an entry with one upstream as a process that writes its log to out, and
// returns it with the address for callers.
func startForward(t *testing.T, upstream string, out *os.File) (*os.Process, string) {
	host := fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
	ports := freeAddresses(t, host, 4)
	_, peers, _ := net.SplitHostPort(ports[3])
	dir := t.TempDir()
	files := map[string]string{
		"settings.jsonc": fmt.Sprintf(`{"name": "entry-1", "data-centre": "a", "listen": {"callers": %q, "ready": %q, "state": %q}, "store": "127.0.0.1:1",
			"news-port": %s, "first-start": true, "stop": {"grace": "4s"}}`, ports[0], ports[1], ports[2], peers),
		"routes.jsonc": fmt.Sprintf(`{"version": 1, "services": [{"name": "s"}],
			"routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "timeout": "3s", "target-latency": "500ms", "attempts": 1, "split": [{"service": "s", "weight": 1}]}],
			"upstreams": [{"id": "u", "service": "s", "version": "v1", "data-centre": "a", "address": %q, "slots": 4}]}`, upstream),
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	args := []string{os.Args[0], "forward", "--settings", filepath.Join(dir, "settings.jsonc"), "--routes", filepath.Join(dir, "routes.jsonc")}
	p, err := os.StartProcess(os.Args[0], args, &os.ProcAttr{Env: append(os.Environ(), runAsProgramEnv+"=1"), Files: []*os.File{nil, out, os.Stderr}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Kill() })
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		res, err := http.Get("http://" + ports[1])
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return p, ports[0]
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the entry is not ready: %v", err)
		}
	}
}

// Guards against requests that are cut, or lose their last line, as further signals come during
// a stop; and against a process that its output keeps from ending.
func TestFurtherSignalsDuringAStop(t *testing.T) {
	for _, blocked := range []bool{false, true} {
		t.Run(fmt.Sprint("output blocked ", blocked), func(t *testing.T) {
			asked := make(chan struct{}, 1)
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked <- struct{}{}
				time.Sleep(500 * time.Millisecond)
				w.Header().Set("Agateward-Request", r.Header.Get("Agateward-Request"))
				_, _ = io.WriteString(w, "fine")
			}))
			defer upstream.Close()
			log, out, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer log.Close()
			text := make(chan string, 1)
			if blocked {
				_, _ = out.Write(make([]byte, pipeLength))
			} else {
				go func() {
					b, _ := io.ReadAll(log)
					text <- string(b)
				}()
			}
			p, address := startForward(t, strings.TrimPrefix(upstream.URL, "http://"), out)
			out.Close()
			status := make(chan int, 1)
			go func() {
				r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
				r.Host = "h"
				r.Header.Set("Agateward-Request", "r1")
				res, err := http.DefaultClient.Do(r)
				if err != nil {
					status <- 0
					return
				}
				defer res.Body.Close()
				_, _ = io.Copy(io.Discard, res.Body)
				status <- res.StatusCode
			}()
			<-asked
			ended := make(chan *os.ProcessState, 1)
			go func() {
				state, _ := p.Wait()
				ended <- state
			}()
			t0 := time.Now()
		signals:
			for n := 0; ; n++ {
				// SIGINT and SIGTERM in turn; an error means that the process has ended.
				_ = p.Signal([]os.Signal{syscall.SIGTERM, syscall.SIGINT}[n%2])
				select {
				case state := <-ended:
					if !state.Success() {
						t.Errorf("the process ended with %v", state)
					}
					break signals
				case <-time.After(5 * time.Millisecond):
				}
				if time.Since(t0) > 20*time.Second {
					t.Fatal("the process does not end")
				}
			}
			if got := <-status; got != http.StatusOK {
				t.Errorf("status %d", got)
			}
			if blocked {
				return
			}
			if got := <-text; strings.Count(got, "event=request-answered request=r1 ") != 1 || !strings.Contains(got, "event=stopped name=entry-1 requests-read=1 requests-ended=1") {
				t.Errorf("log:\n%s", got)
			}
		})
	}
}
