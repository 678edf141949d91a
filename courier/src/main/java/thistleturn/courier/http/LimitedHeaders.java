package thistleturn.courier.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The header lines of a head, limited in number and aware of the memory that they take: a line of
 * five bytes takes forty times as much once it is parsed.
 */
final class LimitedHeaders extends DefaultHttpHeaders {
  static final int MAX_LINES = 128;

  /** The objects of one line on the heap, without its characters. */
  static final int LINE_OVERHEAD_BYTES = 200;

  /** Creates the headers of heads, and limits their number of lines. */
  static final HttpHeadersFactory FACTORY =
      new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
          return new LimitedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
          return new LimitedHeaders();
        }
      };

  /** Trailers have no meaning here, and are not kept. */
  static final HttpHeadersFactory TRAILERS_FACTORY =
      new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
          return new DiscardedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
          return EmptyHttpHeaders.INSTANCE;
        }
      };

  private int textBytes;

  @Override
  public HttpHeaders add(final CharSequence name, final Object value) {
    if (size() == MAX_LINES) {
      throw new TooLongHttpHeaderException("more than " + MAX_LINES + " header lines");
    }
    textBytes += name.length() + value.toString().length();
    return super.add(name, value);
  }

  /** About how much memory the headers of a message take; 0 for null. */
  static int heldBytes(final HttpMessage message) {
    return message != null && message.headers() instanceof LimitedHeaders headers
        ? headers.textBytes + headers.size() * LINE_OVERHEAD_BYTES
        : 0;
  }

  /** Headers that keep nothing of what is added. */
  private static final class DiscardedHeaders extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(final CharSequence name, final Object value) {
      return this;
    }
  }
}
