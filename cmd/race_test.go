//go:build race

package cmd

func init() { raceDetector = true }
