// Command sesame-load sends an open-loop load to a running deployment and reports latencies,
// outcomes and every violated guarantee that it observed. It exits with status 1 after a
// violation.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/daemon"
	"github.com/sesamefork/sesamefork/internal/load"
)

func main() {
	var teams, services, prompts, jsonPath, htmlPath string
	o := load.Options{Stream: true}
	flag.StringVar(&teams, "teams", "", "teams separated by spaces: name,key,region,entry-url[;entry-url],permitted-region[;permitted-region]")
	flag.StringVar(&services, "services", "", "addresses of service stand-ins, separated by commas, whose execution counts are checked")
	flag.StringVar(&prompts, "prompts", "", "files that each contain a prompt, separated by commas")
	flag.StringVar(&o.Model, "model", "", "model")
	flag.StringVar(&o.Service, "service", "", "service for orders")
	flag.Float64Var(&o.Rate, "rate", 50, "requests per second")
	flag.IntVar(&o.Count, "count", 1000, "total number of requests")
	flag.Float64Var(&o.ChatShare, "chat-share", 0.8, "fraction of chat requests, 0 to 1; the others are orders")
	flag.BoolVar(&o.Stream, "stream", true, "request streamed chat answers")
	flag.IntVar(&o.MaxTokens, "max-tokens", 40, "tokens of each answer")
	flag.DurationVar(&o.Deadline, "deadline", 20*time.Second, "deadline of each request")
	flag.IntVar(&o.Tries, "tries", 8, "maximum number of sends per request, including the first")
	flag.Int64Var(&o.Seed, "seed", 1, "seed")
	flag.StringVar(&jsonPath, "json", "", "write the report to this `file` as well")
	flag.StringVar(&htmlPath, "html", "", "write the report as a page with plots to this `file`")
	flag.Parse()
	if err := applyFlags(&o, teams, services, prompts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitUsage)
	}
	rep := load.Run(context.Background(), o)
	data, err := json.MarshalIndent(rep, "", "  ")
	if err == nil {
		fmt.Println(string(data))
	}
	if err == nil && jsonPath != "" {
		err = os.WriteFile(jsonPath, data, 0o644)
	}
	if err == nil && htmlPath != "" {
		err = os.WriteFile(htmlPath, load.Page(rep), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || rep.Violations() > 0 {
		os.Exit(daemon.ExitFailure)
	}
}

func applyFlags(o *load.Options, teams, services, prompts string) error {
	for _, t := range strings.Fields(teams) {
		parts := strings.Split(t, ",")
		if len(parts) != 5 {
			return fmt.Errorf("invalid team %q: want name,key,region,entry-urls,permitted-regions", t)
		}
		o.Teams = append(o.Teams, load.Team{
			Name: parts[0], Key: parts[1], Region: parts[2],
			Entries: strings.Split(parts[3], ";"), Regions: strings.Split(parts[4], ";"),
		})
	}
	if services != "" {
		o.Services = strings.Split(services, ",")
	}
	for _, f := range strings.Split(prompts, ",") {
		if f == "" {
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		o.Prompts = append(o.Prompts, string(data))
	}
	if len(o.Prompts) == 0 {
		o.Prompts = []string{"which parts fit"}
	}
	if len(o.Teams) == 0 || o.Rate <= 0 {
		return fmt.Errorf("-teams and a positive -rate are required")
	}
	return nil
}
