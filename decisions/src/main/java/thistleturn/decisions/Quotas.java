package thistleturn.decisions;

import java.util.List;

/** Meters tenants at this courier's even part of their quotas. */
final class Quotas {
  /** Messages in a burst that chance may bring. */
  private static final double BURST = 10;

  private final List<Courier.Tenant> tenants;
  private final int couriers;
  private final long[] nextUs;

  Quotas(final Courier.Settings settings) {
    this.tenants = settings.tenants();
    this.couriers = settings.couriers();
    this.nextUs = new long[tenants.size()];
  }

  /** Counts a tenant's message (-1: of none); true for one beyond its quota. */
  boolean exceededBy(final int tenant, final long nowUs) {
    final double quota = (tenant < 0 ? 0 : tenants.get(tenant).quotaPerSecond()) / couriers;
    if (quota <= 0 || nextUs[tenant] > nowUs + BURST * Control.SECOND_US / quota) {
      return quota > 0;
    }
    nextUs[tenant] = Math.max(nextUs[tenant], nowUs) + (long) (Control.SECOND_US / quota);
    return false;
  }
}
