package standin

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"sync"
	"time"
)

// OrderOptions configures an OrderService.
type OrderOptions struct {
	Name, Region string
	Capacity     int
	// ServiceTime is the processing time of one request.
	ServiceTime time.Duration
	// Journal is the path of the journal of runs; if empty, none is written.
	Journal string
	// Crash is called to crash the process.
	Crash func()
}

// Booking is the response to a booking and to its lookup.
type Booking struct {
	ID        string `json:"id"`
	RequestID string `json:"request_id"`
	// Ref is the tag in the body of the booking, by which callers recognise it.
	Ref string `json:"ref"`
}

// Stock is the response to a stock lookup.
type Stock struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

// OrderService simulates a plain HTTP service with bookings and stock.
type OrderService struct {
	opt    OrderOptions
	rec    *Recorder
	faults *FaultInjector
	mu     struct {
		sync.Mutex
		bookings map[string]Booking
	}
	slots chan struct{}
}

// NewOrderService returns an order service. It fails if the journal cannot be
// opened.
func NewOrderService(opt OrderOptions) (*OrderService, error) {
	rec, err := NewRecorder(opt.Name, opt.Region, opt.Capacity, opt.Journal)
	if err != nil {
		return nil, err
	}
	s := &OrderService{opt: opt, rec: rec, faults: NewFaultInjector(opt.Crash), slots: make(chan struct{}, opt.Capacity)}
	s.mu.bookings = map[string]Booking{}
	return s, nil
}

// Handler returns the HTTP handler of the service.
func (s *OrderService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders/bookings", s.handle("booking", s.book))
	mux.HandleFunc("GET /orders/bookings/{id}", s.handle("lookup", s.lookup))
	mux.HandleFunc("GET /orders/stock/{item}", s.handle("stock", s.stock))
	mux.Handle("POST /control", s.faults)
	mux.Handle("GET /record", s.rec)
	return mux
}

type orderResponse struct {
	status int
	body   any
}

// handle wraps serve in a handler that records the request, applies faults and
// enforces the capacity. A booking counts as run from its arrival, whether or
// not its response reaches the caller.
func (s *OrderService) handle(kind string, serve func(r *http.Request, body string) orderResponse) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		if err != nil {
			return // incomplete body: not run
		}
		body := string(raw)
		if f, _ := s.faults.Get(); f.Refuse {
			w.Header().Set("X-Not-Run", "true")
			http.Error(w, "told to refuse", http.StatusServiceUnavailable)
			return
		}
		run := s.rec.Begin(kind, r, body)
		outcome := Cancelled
		defer func() { s.rec.End(run, outcome) }()
		if ok, o := s.faults.applyAtStart(w, r, body); !ok {
			outcome = o
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-r.Context().Done():
			return
		}
		// A booking that has a slot completes even if its caller disconnects.
		done := r.Context().Done()
		if kind == "booking" {
			done = nil
		}
		if !s.faults.sleep(done, s.opt.ServiceTime) {
			return
		}
		resp := serve(r, body)
		outcome = Done
		s.rec.End(run, outcome)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(resp.status)
		_ = json.NewEncoder(w).Encode(resp.body)
	}
}

func (s *OrderService) book(r *http.Request, body string) orderResponse {
	tag, _ := FindTag(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Booking{ID: fmt.Sprintf("%s-%d", s.opt.Name, len(s.mu.bookings)+1), RequestID: r.Header.Get("X-Request-Id"), Ref: tag.String()}
	s.mu.bookings[b.ID] = b
	return orderResponse{http.StatusCreated, b}
}

func (s *OrderService) lookup(r *http.Request, _ string) orderResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.mu.bookings[r.PathValue("id")]; ok {
		return orderResponse{http.StatusOK, b}
	}
	return orderResponse{http.StatusNotFound, map[string]string{"error": "no such booking"}}
}

func (s *OrderService) stock(r *http.Request, _ string) orderResponse {
	return orderResponse{http.StatusOK, StockOf(r.PathValue("item"))}
}

// StockOf returns the stock of an item. It is a pure function of the name, so a
// checker can compute the expected response.
func StockOf(item string) Stock {
	return Stock{Item: item, Count: int(crc32.ChecksumIEEE([]byte(item)) % 100)}
}
