package fetcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/chervilvane/chervilvane/fetcher"
)

// The first instance closes the connection without a response, the second one responds.
// OtherMaybeDelivered is true, since the first attempt may have been processed.
func ExampleFetcher_Fetch() {
	first := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer first.Close()
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "hello")
	}))
	defer second.Close()
	f, err := fetcher.New(fetcher.Config{Addresses: []string{first.URL, second.URL}})
	if err != nil {
		panic(err)
	}
	defer f.Close()
	answer, err := f.Fetch(context.Background(), fetcher.Call{
		NewRequest: func() fetcher.Request { return fetcher.Request{Method: http.MethodPost, Path: "/"} },
		Classify:   func(fetcher.Response) fetcher.ResponseClass { return fetcher.Final },
	})
	fmt.Println(string(answer.Body), answer.OtherMaybeDelivered, err)
	// Output: hello true <nil>
}
