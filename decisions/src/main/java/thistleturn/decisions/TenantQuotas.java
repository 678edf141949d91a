package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Tenant;

/** Meters tenants at this courier's even part of their quotas. */
final class TenantQuotas {
  /** Messages in a burst that chance may bring. */
  private static final double BURST_MESSAGES = 10;

  private final List<Tenant> tenants;
  private final int couriers;
  private final long[] nextWithinQuotaUs;

  TenantQuotas(final DeliverySettings settings) {
    this.tenants = settings.tenants();
    this.couriers = settings.courierCount();
    this.nextWithinQuotaUs = new long[tenants.size()];
  }

  /** Counts a tenant's message (-1: of none); true for one beyond its quota. */
  boolean recordAndCheckExceeded(final int tenant, final long nowUs) {
    final double quota = (tenant < 0 ? 0 : tenants.get(tenant).quotaPerSecond()) / couriers;
    if (quota <= 0
        || nextWithinQuotaUs[tenant]
            > nowUs + BURST_MESSAGES * OverloadController.SECOND_US / quota) {
      return quota > 0;
    }
    nextWithinQuotaUs[tenant] =
        Math.max(nextWithinQuotaUs[tenant], nowUs) + (long) (OverloadController.SECOND_US / quota);
    return false;
  }
}
