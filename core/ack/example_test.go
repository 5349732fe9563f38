package ack_test

import (
	"context"
	"fmt"
	"time"

	"basilmill/core/ack"
	"basilmill/core/group"
)

// A program passes the status answers of the group's servers to the gate, and
// the gate confirms a waiting write.
func Example() {
	record := &group.Record{ID: "orders", Term: 3, Generation: 7, Primary: "a", Successor: "b"}
	var gate ack.Gate
	confirmed := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		confirmed <- gate.Confirm(ctx, 7, group.Position{Term: 3, Offset: 1200})
	}()
	gate.Observe(group.Status{Server: "b", Term: 3, Generation: 7, Received: 1200}, time.Now(), record)
	fmt.Println(<-confirmed)
	// Output: <nil>
}
