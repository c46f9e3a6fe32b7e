// Package load generates load on an entry host that runs as a separate process. It measures the time that the host adds
// to the time to first token, the CPU time of streaming, and the memory that large prompts occupy.
package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"carobshunt/internal/dispatch"

	"github.com/juju/errors"
)

// DirectError reports an engine that answered a direct request with a status other than 200.
type DirectError struct{ Status int }

// Error implements error.
func (e *DirectError) Error() string {
	return fmt.Sprintf("the engine answered with status %d", e.Status)
}

// firstTokenDirect sends a request straight to an engine, as an entry host would, and returns the time to its first
// frame. It reads the stream to its end. serial makes the stream's name unique.
func firstTokenDirect(ctx context.Context, client *http.Client, engine string, shape Shape, serial int) (time.Duration, error) {
	start := time.Now()
	address := "http://" + engine + dispatch.PathStreams
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(shape.body()))
	if err != nil {
		return 0, errors.Trace(err)
	}
	req.Header.Set(dispatch.HeaderStream, fmt.Sprintf("direct~0~10000~load~direct-%d~1", serial))
	req.Header.Set(dispatch.HeaderModel, shape.Model)
	req.Header.Set(dispatch.HeaderPromptTokens, strconv.FormatInt(shape.PromptTokens, 10))
	req.Header.Set(dispatch.HeaderAnswerTokens, strconv.FormatInt(shape.AnswerTokens, 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, &DirectError{Status: resp.StatusCode}
	}
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() {
		return 0, errors.Trace(lines.Err())
	}
	firstToken := time.Since(start)
	for lines.Scan() {
		continue
	}
	return firstToken, errors.Trace(lines.Err())
}
