/**
 * What is learnt of refusals, single failures, tails and first seconds; pure, and asked by the
 * decisions.
 */
package thistleturn.decisions.rejections;
