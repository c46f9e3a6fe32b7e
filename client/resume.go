package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"carobshunt/api"
)

// resumeTries is how often a broken answer is resumed without a new byte before the request is submitted again.
const resumeTries = 4

// recover resumes an answer that broke off: at the host that sent it, and when that can't be reached through another.
func (s *submission) recover(ctx context.Context) verdict {
	holder := s.result.Host
	via := s.host
	for tries := 0; tries < resumeTries && ctx.Err() == nil; tries++ {
		before := len(s.answer.text)
		switch s.resume(ctx, via, holder) {
		case finished:
			return finished
		case elsewhere:
			via = s.otherThan(ctx, via)
		}
		if len(s.answer.text) > before {
			tries = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause / 2):
		}
	}
	return elsewhere
}

// resume asks for the rest of the answer, which the holder keeps, through a host.
func (s *submission) resume(ctx context.Context, via, holder string) verdict {
	query := url.Values{
		"dispatch": {strconv.FormatUint(uint64(s.answer.dispatch), 10)},
		"offset":   {strconv.Itoa(len(s.answer.text))},
	}
	address := s.client.url(via, api.PathRequests+"/"+s.req.ID+"/answer?"+query.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return elsewhere
	}
	s.setHeaders(req.Header)
	req.Header.Set(api.HeaderHome, holder)
	resp, err := s.client.http.Do(req)
	if err != nil {
		return elsewhere
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return elsewhere
	}
	return s.readAnswer(resp)
}

// otherThan is a host other than one that could not be reached.
func (s *submission) otherThan(ctx context.Context, address string) string {
	lookup, err := s.client.Lookup(ctx)
	if err != nil {
		return address
	}
	for _, h := range lookup.Hosts {
		if h.Address != address {
			return h.Address
		}
	}
	return address
}
