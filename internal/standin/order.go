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

// OrderOptions configures an order service.
type OrderOptions struct {
	Name, Region string
	Capacity     int
	// Time is the run time of one request.
	Time    time.Duration
	Journal string
	Crash   func()
}

// Booking is the answer to a booking and to its lookup.
type Booking struct {
	ID        string `json:"id"`
	RequestID string `json:"request_id"`
	// Ref is the tag of the booking's body, by which callers recognise it.
	Ref string `json:"ref"`
}

// Stock is the answer to a stock lookup.
type Stock struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

// OrderService is a plain service with bookings and stock.
type OrderService struct {
	opt OrderOptions
	rec *Recorder
	ctl *Control
	mu  struct {
		sync.Mutex
		bookings map[string]Booking
	}
	slots chan struct{}
}

// NewOrderService returns an order service.
func NewOrderService(opt OrderOptions) (*OrderService, error) {
	rec, err := NewRecorder(opt.Name, opt.Region, opt.Capacity, opt.Journal)
	if err != nil {
		return nil, err
	}
	s := &OrderService{opt: opt, rec: rec, ctl: NewControl(opt.Crash), slots: make(chan struct{}, opt.Capacity)}
	s.mu.bookings = map[string]Booking{}
	return s, nil
}

// Handler returns the HTTP interface.
func (s *OrderService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders/bookings", s.run("booking", s.book))
	mux.HandleFunc("GET /orders/bookings/{id}", s.run("lookup", s.lookup))
	mux.HandleFunc("GET /orders/stock/{item}", s.run("stock", s.stock))
	mux.Handle("POST /control", s.ctl)
	mux.Handle("GET /record", s.rec)
	return mux
}

type answer struct {
	status int
	body   any
}

// run enforces the capacity and records the request. A booking counts as run
// from its arrival, whether or not its answer reaches the caller.
func (s *OrderService) run(kind string, serve func(r *http.Request, body string) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
		if err != nil {
			return // the body did not arrive; nothing ran
		}
		body := string(raw)
		if f, _ := s.ctl.Get(); f.Refuse {
			w.Header().Set("X-Not-Run", "true")
			http.Error(w, "told to refuse", http.StatusServiceUnavailable)
			return
		}
		run := s.rec.Begin(kind, r, body)
		outcome := Cancelled
		defer func() { s.rec.End(run, outcome) }()
		if ok, o := s.ctl.before(w, r, body); !ok {
			outcome = o
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-r.Context().Done():
			return
		}
		// A booking that started is completed even if its caller is gone.
		done := r.Context().Done()
		if kind == "booking" {
			done = nil
		}
		if !s.ctl.wait(done, s.opt.Time) {
			return
		}
		a := serve(r, body)
		outcome = Done
		s.rec.End(run, outcome)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

func (s *OrderService) book(r *http.Request, body string) answer {
	tag, _ := FindTag(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Booking{ID: fmt.Sprintf("%s-%d", s.opt.Name, len(s.mu.bookings)+1), RequestID: r.Header.Get("X-Request-Id"), Ref: tag.String()}
	s.mu.bookings[b.ID] = b
	return answer{http.StatusCreated, b}
}

func (s *OrderService) lookup(r *http.Request, _ string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.mu.bookings[r.PathValue("id")]; ok {
		return answer{http.StatusOK, b}
	}
	return answer{http.StatusNotFound, map[string]string{"error": "no such booking"}}
}

func (s *OrderService) stock(r *http.Request, _ string) answer {
	return answer{http.StatusOK, StockOf(r.PathValue("item"))}
}

// StockOf returns the stock of an item, a pure function of its name.
func StockOf(item string) Stock {
	return Stock{Item: item, Count: int(crc32.ChecksumIEEE([]byte(item)) % 100)}
}
