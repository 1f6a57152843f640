package org.banyanstair.forwarder.internal;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** HTTP/1.1 client codec that shows whether bytes follow a response. Used on the event loop thread only. */
final class EndpointCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    private final Queue<HttpMethod> pendingMethods = new ArrayDeque<>();
    private int undecodedBytes;

    EndpointCodec(HttpDecoderConfig configuration) {
        init(new Decoder(configuration), new Encoder());
    }

    /**
     * Returns the number of received bytes after the latest decoded message. The decoder alone does not show them,
     * because it consumes the complete lines of an incomplete head.
     */
    int undecodedBytes() {
        return undecodedBytes;
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> output) throws Exception {
            if (message instanceof HttpRequest request) {
                pendingMethods.add(request.method());
            }
            super.encode(context, message, output);
        }
    }

    private final class Decoder extends HttpResponseDecoder {
        Decoder(HttpDecoderConfig configuration) {
            super(configuration);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
            super.decode(context, input, output);
            undecodedBytes = input.readableBytes();
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            if (((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return super.isContentAlwaysEmpty(message);
            }
            return HttpMethod.HEAD.equals(pendingMethods.poll()) || super.isContentAlwaysEmpty(message);
        }
    }
}
