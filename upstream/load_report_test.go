package upstream

import (
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestDecodeLoad(t *testing.T) {
	for text, want := range map[string]eelgrassbeam.SiteLoad{
		"":                   {},
		"3":                  {},
		"3,1":                {},
		"3,1,4":              {InProgress: 3, Waiting: 1, Slots: 4},
		" 3, 1 ,4":           {InProgress: 3, Waiting: 1, Slots: 4},
		"3,1,4,250":          {InProgress: 3, Waiting: 1, Slots: 4, Pace: 2.5},
		"3,1,4,12.5,7,x":     {InProgress: 3, Waiting: 1, Slots: 4, Pace: 0.125},
		"3,1,4,":             {InProgress: 3, Waiting: 1, Slots: 4},
		"3,1,4,0":            {InProgress: 3, Waiting: 1, Slots: 4},
		"3,1,4,-100":         {InProgress: 3, Waiting: 1, Slots: 4},
		"3,1,4,NaN":          {InProgress: 3, Waiting: 1, Slots: 4},
		"3,1,4,1e9":          {InProgress: 3, Waiting: 1, Slots: 4, Pace: maxPace},
		"-3,1,4":             {},
		"3,x,4,100":          {},
		"3,1,99999999999999": {},
	} {
		t.Run(text, func(t *testing.T) { is.New(t).Equal(decodeLoad(text), want) })
	}
}
