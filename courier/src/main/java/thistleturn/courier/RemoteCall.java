package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;

/**
 * A call that an older process of this courier still carries out.
 *
 * @param number the number under which the older process knows it
 * @param endpoint the endpoint's id in this process
 */
record RemoteCall(long number, long endpoint, long preparedUs) implements Dispatcher.Call {}
