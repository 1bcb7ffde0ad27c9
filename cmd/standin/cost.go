package main

import (
	"fmt"
	"time"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// costCommand simulates the capacity planner over one day and prints the cost of its
// upstreams.
type costCommand struct {
	PeakRequests    int           `long:"peak" default:"150" description:"requests at the peak of the day"`
	BootTime        time.Duration `long:"boot" default:"60s" description:"time from an order to the first announcement"`
	ReclaimNotice   time.Duration `long:"notice" default:"30s" description:"notice before a reclaim, where one is given"`
	Reclaims        int           `long:"reclaims" default:"6" description:"reclaims of a whole zone over the day"`
	UnavailableTime time.Duration `long:"away" default:"30m" description:"time in which the zone then has no cheap ones"`
	Price           float64       `long:"price" default:"10" description:"money an hour of a regular upstream"`
	Cheap           float64       `long:"price-cheap" default:"3" description:"money an hour of a cheap upstream"`
}

// Execute implements flags.Commander. It simulates and prints one day for each cheap share,
// without and with a notice.
func (c *costCommand) Execute([]string) error {
	fmt.Println("target cheap share | notice | cost an hour | cheap share | mean upstreams | cut requests | request-seconds waiting | orders")
	for _, share := range []float64{0, 0.3, 0.5, 0.7} {
		for _, notice := range []time.Duration{0, c.ReclaimNotice} {
			r := standin.SimulateCost(standin.CostOptions{
				Capacity: document.Capacity{
					Zones: []string{"a", "b", "c"}, Floor: 1, Ceiling: 20, CheapShare: share, Concurrency: 8,
					Price: c.Price, PriceCheap: c.Cheap, StartLimit: 5 * c.BootTime,
				},
				PeakRequests: c.PeakRequests, BootTime: c.BootTime, ReclaimNotice: notice, Reclaims: c.Reclaims, UnavailableTime: c.UnavailableTime,
			})
			fmt.Printf("%.1f | %s | %.1f | %.2f | %.1f | %d | %d | %d\n", share, notice, r.TotalCost/24, r.Cheap, r.MeanUpstreams, r.CutRequests, r.RequestWaitSeconds, r.Orders)
		}
	}
	return nil
}
