/**
 * What the overload controller learns from the rejections and service times of calls: whether
 * rejections are caused by load or random, how many retries that justifies, how long calls of a
 * class take at an endpoint, and how long a new concurrency window stays in slow start.
 *
 * <p>The classes are plain state machines that belong to the routes and endpoints of the overload
 * controller and run on its thread. They receive times as arguments and perform no I/O. Design:
 * {@code docs/design/noise.md}.
 */
package thistleturn.decisions.rejections;
