package logsvc

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"arbutusramp/standin/internal/httpd"
)

func (s *Server) serveStats(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(s.Stats())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, body)
}
