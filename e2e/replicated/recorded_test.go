package replicated_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
)

// recordedSchedules are schedules that lost successful writes, by what confirmed the
// writes, what was carried out late, or which host made the change.
var recordedSchedules = map[string]schedule{
	"unlisted server": {hosts: 2, promotionDelay: 300, steps: []step{
		start{at: 0, server: "d", listing: 10_000},
		split{at: 0, lasts: 2550, server: "a", beside: []int{1}},
	}},
	"server listed after the order": {hosts: 2, promotionDelay: 1000, steps: []step{
		split{at: 0, lasts: 5000, server: "a", beside: []int{1}},
		start{at: 1700, server: "d"},
	}},
	"unlisted server beside a reborn primary": {hosts: 2, promotionDelay: 600, steps: []step{
		start{at: 0, server: "d", listing: 10_000},
		rebirth{at: 250, lasts: 150, server: "a", as: "r", listing: 550},
	}},
	"unlisted server beside a restarted primary": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 0, lasts: 600, server: "a"},
		start{at: 150, server: "d", listing: 10_000},
	}},
	"restarted replica": {hosts: 2, promotionDelay: 1000, steps: []step{
		split{at: 0, lasts: 1700, server: "a", beside: []int{1}},
		crash{at: 1750, lasts: 50, server: "c"},
	}},
	"leaving replica": {hosts: 2, promotionDelay: 300, steps: []step{
		crash{at: 100, lasts: 2600, server: "b"},
		leave{at: 50, lasts: 1050, server: "c"},
		crash{at: 1750, lasts: 1650, server: "a"},
	}},
	"restarted witness": {hosts: 2, promotionDelay: 300, steps: []step{
		crash{at: 250, lasts: 450, server: "a"},
		crash{at: 700, lasts: 50, server: "c"},
	}},
	"reset witness": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 250, lasts: 600, server: "a"},
		reset{at: 900, lasts: 50, server: "c"},
	}},
	"reset replica beside a crashed primary": {hosts: 2, promotionDelay: 300, steps: []step{
		serverCut{at: 0, lasts: 3000, server: "a", and: "b"},
		reset{at: 650, lasts: 50, server: "c"},
		crash{at: 650, lasts: 1000, server: "a"},
	}},
	"order repeated after it took effect": {hosts: 2, promotionDelay: 300, steps: []step{
		crash{at: 0, lasts: 3000, server: "a"},
		lateOrders{at: 0, lasts: 3000, delay: 100},
		reset{at: 1400, lasts: 50, server: "b"},
	}},
	"order repeated after its server has lost its log": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 0, lasts: 3000, server: "a"},
		reset{at: 400, lasts: 250, server: "b"},
		lateOrders{at: 50, lasts: 1150, delay: 150},
	}},
	"reborn replica": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 0, lasts: 600, server: "a"},
		rebirth{at: 700, lasts: 50, server: "c", as: "r"},
	}},
	"late copy of an order whose server was demoted": {hosts: 1, promotionDelay: 300, duration: 8000, steps: []step{
		latePromotions{lateCalls{at: 0, lasts: 8000, least: 2500, most: 2500, percent: 100}},
		leave{at: 100, lasts: 9000, server: "a"},
		leave{at: 3200, lasts: 9000, server: "b"},
		serverCut{at: 3800, lasts: 4000, server: "b", and: "c"},
	}},
	"late order beside an order of the next attempt": {hosts: 1, promotionDelay: 300, duration: 8000, steps: []step{
		latePromotions{lateCalls{at: 0, lasts: 8000, least: 3300, most: 3300, percent: 100}},
		crash{at: 100, lasts: 1500, server: "a"},
		serverCut{at: 2000, lasts: 6000, server: "a", and: "b"},
	}},
	"late order after the next attempt has demoted": {hosts: 1, promotionDelay: 300, duration: 13_000, steps: []step{
		start{at: 0, server: "d"},
		latePromotions{lateCalls{at: 0, lasts: 3200, least: 2500, most: 2500, percent: 100}},
		latePromotions{lateCalls{at: 3200, lasts: 10_000, least: 5000, most: 5000, percent: 100}},
		leave{at: 100, lasts: 13_000, server: "a"},
		leave{at: 3200, lasts: 13_000, server: "b"},
		leave{at: 5000, lasts: 13_000, server: "c"},
		serverCut{at: 7500, lasts: 6000, server: "c", and: "d"},
	}},
	"late copy accepted before the order of the next attempt": {hosts: 3, promotionDelay: 600, duration: 6000, steps: []step{
		replaceAll{at: 100, every: 2300, listing: 50, lasts: 4950},
		serverCut{at: 3250, lasts: 3000, server: "c", and: presentPrimary},
		latePromotions{lateCalls{at: 0, lasts: 2050, least: 2000, most: 2000, percent: 50, seed: 413}},
	}},
	"late resumption of replicas that the next attempt has suspended": {hosts: 1, promotionDelay: 1000, duration: 8000, steps: []step{
		lateCommands{lateCalls{at: 0, lasts: 3400, least: 2200, most: 2200, percent: 100}},
		crash{at: 100, lasts: 3800, server: "a"},
		serverCut{at: 3600, lasts: 4000, server: "a", and: "b"},
	}},
	"witness whose entry has expired for the other hosts": {hosts: 2, promotionDelay: 300, duration: 12_000, steps: []step{
		start{at: 0, server: "d"},
		isolation{at: 0, lasts: 9500, servers: []group.ServerID{"a", "c"}, hosts: []int{1}, reachable: true, apart: 600, returns: 1000},
	}},
	"witness whose entry expires for a host that has started": {hosts: 2, promotionDelay: 300, duration: 13_000, steps: []step{
		start{at: 0, server: "d"},
		isolation{at: 0, lasts: 11_000, servers: []group.ServerID{"a", "c"}, hosts: []int{1}, returns: 1000},
		hostStart{at: 1000, host: 0},
	}},
	"host that starts while entries are missing": {hosts: 2, promotionDelay: 300, duration: 13_000, steps: []step{
		start{at: 0, server: "d"},
		isolation{at: 0, lasts: 11_000, servers: []group.ServerID{"a", "c"}, hosts: []int{1}, returns: 1000},
		hostStart{at: 5500, host: 0},
	}},
	"host that has started without the store": {hosts: 1, promotionDelay: 300, duration: 9000, steps: []step{
		start{at: 0, server: "d"},
		isolation{at: 0, lasts: 6000, servers: []group.ServerID{"a", "b"}, hosts: []int{0, 1}, returns: 1000},
		hostStart{at: 500, host: 1},
	}},
	"host whose first list lacks expired entries": {hosts: 2, promotionDelay: 300, duration: 13_000, steps: []step{
		start{at: 0, server: "d"},
		isolation{at: 0, lasts: 6700, servers: []group.ServerID{"a", "b"}, hosts: []int{1}, reachable: true, returns: 1500},
		hostStart{at: 500, host: 1},
	}},
	"log transferred to a suspended replacement": {hosts: 2, promotionDelay: 1000, duration: 12_000, steps: []step{
		replacement{at: 0, lasts: 9750, server: "c"},
		unlist{at: 500, lasts: 11_000, server: "c"},
		hostCut{at: 7900, lasts: 3000, host: 1, servers: []group.ServerID{"a"}},
		serverCut{at: 8550, lasts: 3000, server: "a", and: "b"},
		serverCut{at: 8550, lasts: 3000, server: "a", and: "n1"},
	}},
	"all listed servers without logs": {hosts: 2, promotionDelay: 600, duration: 13_000, steps: []step{
		start{at: 0, server: "e"},
		isolation{at: 300, lasts: 9600, servers: []group.ServerID{"b", "c"}, reported: 1200, apart: 500, returns: 2000},
		reset{at: 0, lasts: 350, server: "a"},
		rebirth{at: 350, lasts: 2700, server: "b", as: "r", listing: 300},
		reset{at: 2000, lasts: 2950, server: "c"},
	}},
	"only replica that ends beside a crashed primary": {hosts: 1, promotionDelay: 300, steps: []step{
		serverCut{at: 0, lasts: 3000, server: "a", and: "c"},
		leave{at: 0, lasts: 1000, server: "b"},
		crash{at: 1000, lasts: 400, server: "a"},
	}},
	"demoted primary that loses its log before the order": {hosts: 1, promotionDelay: 300, steps: []step{
		serverCut{at: 0, lasts: 800, server: "a", and: "b"},
		serverCut{at: 0, lasts: 800, server: "a", and: "c"},
		leave{at: 0, lasts: 800, server: "c"},
		reset{at: 800, lasts: 500, server: "a"},
	}},
}

// Guards against the loss of successful writes in schedules that were generated earlier.
func TestPromisesUnderRecordedSchedules(t *testing.T) {
	for name, s := range recordedSchedules {
		t.Run(name, func(t *testing.T) {
			for range recordedRuns {
				violations := runSchedule(t, s)
				assert.Equal(t, len(violations), 0, "%s", strings.Join(descriptions(violations), "\n"))
			}
		})
	}
}
