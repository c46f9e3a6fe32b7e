package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"carobshunt/internal/published"

	"github.com/labstack/echo/v4"
)

// Platform is the configuration service and the host list. Operators publish with PUT, hosts read with long polling. It is
// safe for concurrent use.
type Platform struct {
	config *publishedFile
	hosts  *publishedFile
	reads  counter
}

// publishedFile is the latest version of a published file. Readers can wait for the next one.
type publishedFile struct {
	mu      sync.Mutex
	version uint64
	raw     []byte
	changed chan struct{} // closed at the next publication
}

type counter struct {
	mu sync.Mutex
	n  uint64
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) get() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// PathReads is the path at which a Platform reports the number of reads received.
const PathReads = "/v1/reads"

// Reads is the number of reads received since the start.
type Reads struct {
	Count uint64 `json:"count"`
}

// NewPlatform returns a platform without any published file.
func NewPlatform() *Platform { return &Platform{config: newPublishedFile(), hosts: newPublishedFile()} }

func newPublishedFile() *publishedFile { return &publishedFile{changed: make(chan struct{})} }

// Register adds the platform's routes to e.
func (p *Platform) Register(e *echo.Echo) {
	e.GET(published.PathConfig, func(c echo.Context) error { return p.read(c, p.config) })
	e.GET(published.PathHosts, func(c echo.Context) error { return p.read(c, p.hosts) })
	e.PUT(published.PathConfig, func(c echo.Context) error { return publish(c, p.config) })
	e.PUT(published.PathHosts, func(c echo.Context) error { return publish(c, p.hosts) })
	e.GET(PathReads, func(c echo.Context) error { return c.JSON(http.StatusOK, Reads{Count: p.reads.get()}) })
}

// PublishConfig publishes a document. Only its revision is read; nothing else is checked.
func (p *Platform) PublishConfig(raw []byte) { p.config.publish(raw) }

// PublishHosts publishes a host list. Only its version is read; nothing else is checked.
func (p *Platform) PublishHosts(raw []byte) { p.hosts.publish(raw) }

// maxPublishBytes is the maximum size of a published file, in bytes.
const maxPublishBytes = 1 << 20

func publish(c echo.Context, file *publishedFile) error {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxPublishBytes))
	if err != nil {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	file.publish(raw)
	return c.NoContent(http.StatusNoContent)
}

// fileVersion is the version of a published file: Revision in a document, Version in a host list.
type fileVersion struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
}

func (f *publishedFile) publish(raw []byte) {
	var v fileVersion
	_ = json.Unmarshal(raw, &v) // without a valid version, the file has version 0 and reaches no reader
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raw = raw
	f.version = max(v.Revision, v.Version)
	close(f.changed)
	f.changed = make(chan struct{})
}

// newerThan returns the file if its version is higher than after, and a channel that is closed at the next publication.
func (f *publishedFile) newerThan(after uint64) ([]byte, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.raw != nil && f.version > after {
		return f.raw, f.changed
	}
	return nil, f.changed
}

// read answers with the file if its version is higher than the query parameter "after". It waits for such a version up to
// "wait_ms" milliseconds, then answers 304.
func (p *Platform) read(c echo.Context, file *publishedFile) error {
	p.reads.add()
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	wait, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		raw, changed := file.newerThan(after)
		if raw != nil {
			return c.JSONBlob(http.StatusOK, raw)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}
