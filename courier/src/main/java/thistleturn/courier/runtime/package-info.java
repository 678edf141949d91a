/**
 * Infrastructure that every part of a courier's process uses: its configuration ({@link
 * thistleturn.courier.runtime.CourierConfig}), structured logging and event counters ({@link
 * thistleturn.courier.runtime.Log}), clocks ({@link thistleturn.courier.runtime.Clock}), JSON
 * without an object mapper ({@link thistleturn.courier.runtime.Json}), and helpers for event loops
 * and retries. It depends on no other package of the courier.
 */
package thistleturn.courier.runtime;
