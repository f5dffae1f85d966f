/**
 * How often a host renews its registration and reads the list, by the number of hosts.
 */
import type {Random} from '../../common/services/services.js';
import {
	intervalJitterShare, intervalsUntilExpiry, maximumListReadsPerSecond, maximumRenewalsPerSecond,
	minimumListReadIntervalMs, minimumRenewalIntervalMs,
} from './constants.js';

/** Time until the next renewal of a host's registration. */
export function drawRenewalIntervalMs(hostCount: number, random: Random): number {
	return withJitter(renewalIntervalMs(hostCount), random);
}

/** Time until the next read of the host list. */
export function drawListReadIntervalMs(hostCount: number, random: Random): number {
	const intervalMs = Math.max(minimumListReadIntervalMs, hostCount * 1000 / maximumListReadsPerSecond);
	return withJitter(intervalMs, random);
}

/** How long a registration lasts when it is not renewed. */
export function registrationExpiryMs(hostCount: number): number {
	return renewalIntervalMs(hostCount) * intervalsUntilExpiry;
}

function renewalIntervalMs(hostCount: number): number {
	return Math.max(minimumRenewalIntervalMs, hostCount * 1000 / maximumRenewalsPerSecond);
}

function withJitter(intervalMs: number, random: Random): number {
	return intervalMs * (1 + (intervalJitterShare * ((2 * random.next()) - 1)));
}
