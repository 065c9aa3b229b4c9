package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"cowslipgw/internal/httpanswer"
	"cowslipgw/internal/standin"
	"cowslipgw/internal/transport"
)

const (
	// maxLoadAttempts limits the download attempts for one load order.
	maxLoadAttempts = 10
	// loadRetryDelay is the delay between download attempts.
	loadRetryDelay = time.Second
)

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	e.mu.Lock()
	models := []model{}
	for _, id := range e.models {
		models = append(models, model{ID: id, Object: "model"})
	}
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// loadModelLocked starts to load a model, unless it is loaded or loading, and
// returns the state of the load order: "done" or "loading".
func (e *Engine) loadModelLocked(model string) (state string) {
	switch {
	case slices.Contains(e.models, model):
		return "done"
	case e.loading[model] || e.ctx.Err() != nil:
		return "loading"
	case e.settings.Weights == "":
		e.models = append(e.models, model)
		return "done"
	}
	e.loading[model] = true
	e.wg.Go(func() { e.fetchModel(model) })
	return "loading"
}

// fetchModel downloads a model with retries and makes it available.
func (e *Engine) fetchModel(model string) {
	loaded := false
	for range maxLoadAttempts {
		if loaded = e.download(model) == nil; loaded {
			break
		}
		if !standin.Sleep(e.ctx, loadRetryDelay) {
			break
		}
	}
	e.mu.Lock()
	delete(e.loading, model)
	if loaded {
		e.models = append(e.models, model)
	}
	e.mu.Unlock()
	e.load.Refresh()
}

func (e *Engine) download(model string) error {
	httpTransport := httpanswer.NewTransport(transport.HTTPTransport(e.settings.Network))
	defer httpTransport.CloseIdleConnections()
	target := "http://" + e.settings.Weights + "/weights/" + url.PathEscape(model)
	request, err := http.NewRequestWithContext(e.ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Transport: httpTransport}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
