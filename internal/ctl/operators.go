package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"carobshunt/api"
	"carobshunt/internal/httpstrict"
	"carobshunt/internal/secure"

	"github.com/juju/errors"
)

// hostClient calls the operators' interfaces of entry hosts.
type hostClient struct {
	scheme string
	key    string
	http   *http.Client
}

// Limits of calls to the operators' interfaces.
const (
	operatorTimeout  = 3 * time.Second
	maxResponseBytes = 64 << 20
)

func (d *Deployment) operatorsClient() (*hostClient, error) {
	if err := d.requireOperators(); err != nil {
		return nil, err
	}
	key, err := readKey(d.OperatorKeyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config, err := d.tls(d.OperatorsTLS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{TLSClientConfig: config}
	client := &http.Client{Timeout: operatorTimeout, Transport: httpstrict.NewTransport(transport)}
	return &hostClient{scheme: scheme, key: key, http: client}, nil
}

// ResponseError reports a response with an error status and no api.Error as its body.
type ResponseError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("answered with status %d: %s", e.Status, e.Body)
}

// call sends a request without a body and returns the response's body. A status of 400 or above is an error.
func (o *hostClient) call(ctx context.Context, method, address, path string, query url.Values) ([]byte, error) {
	endpoint := url.URL{Scheme: o.scheme, Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, endpoint.String(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	secure.SetBearerKey(req.Header, o.key)
	resp, err := o.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, responseError(resp.StatusCode, body)
	}
	return body, nil
}

// responseError returns the api.Error in the body, or else a ResponseError.
func responseError(status int, body []byte) error {
	apiErr := &api.Error{}
	if json.Unmarshal(body, apiErr) == nil && apiErr.Code != "" {
		return apiErr
	}
	return &ResponseError{Status: status, Body: string(body)}
}

func (o *hostClient) status(ctx context.Context, address string) (*api.Status, error) {
	body, err := o.call(ctx, http.MethodGet, address, api.PathStatus, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	status := &api.Status{}
	return status, errors.Trace(json.Unmarshal(body, status))
}

// record fetches a request's record; with http.MethodDelete it cancels the request first.
func (o *hostClient) record(ctx context.Context, method, address, team, id string) (*api.RecordState, error) {
	body, err := o.call(ctx, method, address, api.PathRequests+"/"+id, url.Values{"team": {team}})
	if err != nil {
		return nil, errors.Trace(err)
	}
	state := &api.RecordState{}
	return state, errors.Trace(json.Unmarshal(body, state))
}

// HostStatus is a host's status, or the error that kept it from being fetched.
type HostStatus struct {
	// Operator is the address of the host's operators' interface.
	Operator string      `json:"operator"`
	Error    string      `json:"error,omitempty"`
	Status   *api.Status `json:"status,omitempty"`
}

// maxConcurrentHosts limits the number of hosts that are called concurrently.
const maxConcurrentHosts = 32

// statuses fetches the status of all hosts. The result is in the order of addresses.
func (o *hostClient) statuses(ctx context.Context, addresses []string) []HostStatus {
	out := make([]HostStatus, len(addresses))
	forEachConcurrently(addresses, func(i int, address string) {
		status, err := o.status(ctx, address)
		out[i] = HostStatus{Operator: address, Status: status}
		if err != nil {
			out[i] = HostStatus{Operator: address, Error: err.Error()}
		}
	})
	return out
}

// forEachConcurrently calls f for every address, up to maxConcurrentHosts at a time, and waits for all calls.
func forEachConcurrently(addresses []string, f func(i int, address string)) {
	slots := make(chan struct{}, maxConcurrentHosts)
	var wg sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i, address)
		})
	}
	wg.Wait()
}
