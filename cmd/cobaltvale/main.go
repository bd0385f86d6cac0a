package main

import (
	"fmt"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pelletier/go-toml/v2"
)

type srv struct{ gnet.BuiltinEventEngine }

func (s *srv) OnTraffic(c gnet.Conn) gnet.Action {
	b, _ := c.Next(-1)
	fmt.Fprintln(os.Stderr, "traffic", len(b), string(b))
	c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	return gnet.None
}

type cli struct{ gnet.BuiltinEventEngine }

func (s *cli) OnTraffic(c gnet.Conn) gnet.Action {
	b, _ := c.Next(-1)
	fmt.Fprintln(os.Stderr, "client traffic", len(b), string(b[:min(len(b), 300)]))
	return gnet.None
}
func (s *cli) OnClose(c gnet.Conn, err error) gnet.Action {
	fmt.Fprintln(os.Stderr, "client close", err)
	return gnet.None
}
func main() {
	b, _ := os.ReadFile(os.Args[len(os.Args)-1])
	var c struct {
		APIAddr  string `toml:"api_addr"`
		External struct{ State, Cloud string }
	}
	if err := toml.Unmarshal(b, &c); err != nil {
		panic(err)
	}
	go func() {
		client, err := gnet.NewClient(&cli{}, gnet.WithTicker(false))
		if err != nil {
			fmt.Fprintln(os.Stderr, "client err", err)
			return
		}
		client.Start()
		for i := 0; i < 3; i++ {
			time.Sleep(time.Second)
			conn, err := client.Dial("tcp", c.External.State)
			if err != nil {
				fmt.Fprintln(os.Stderr, "dial err", err)
				continue
			}
			conn.AsyncWrite([]byte("GET /kv?under=a HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
		}
	}()
	err := gnet.Run(&srv{}, "tcp://"+c.APIAddr, gnet.WithNumEventLoop(1))
	fmt.Fprintln(os.Stderr, "run", err)
}
