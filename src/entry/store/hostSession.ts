/**
 * This host's session in the key-value service: a lease, and the host's record bound to it.
 *
 * @module
 */
import { type ClockReading } from "../../duties/index.js";
import { type HostAddresses, type HostRegistration } from "../../generated/gossip.js";
import { type Logger, runInBackground } from "../../observability/index.js";
import { type KeyValueService, type PlatformError } from "../../platform/index.js";

/** The record of a host that crashed expires after this time. */
const LEASE_MILLISECONDS = 4_000;

/** Delay before the next call after a failed one. */
const RETRY_DELAY_MILLISECONDS = 450;

/** Key prefix of hosts' records. */
export const HOST_KEY_PREFIX = "hosts/";

/** Options of a host's session. */
export interface HostSessionOptions {
    readonly host: string;
    readonly zone: string;
    readonly addresses: HostAddresses;
    readonly keyValue: KeyValueService;
    readonly logger: Logger;
    readonly readClocks: () => ClockReading;
    /** Returns the time until the next renewal. */
    readonly renewalIntervalMilliseconds: () => number;
    /** Returns the revision of this host's record in the mirror; 0 for none. */
    readonly hostRecordRevision: () => number;
    /** The session was confirmed by a call; the reading was taken before the call was sent. */
    readonly onConfirmed: (session: string, sentAt: ClockReading) => void;
    readonly onLost: () => void;
    readonly onCallOutcome: (succeeded: boolean) => void;
    /** A call got no answer in time, so its connection may be dead. */
    readonly onCallTimeout: () => void;
}

/** Registers this host and renews its session until closed; begins another session after one that ended. */
export class HostSession {
    readonly #options: HostSessionOptions;
    #lease: string | undefined;
    #registered = false;
    #timer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: HostSessionOptions) {
        this.#options = options;
    }

    start(): void {
        this.#beginStep();
    }

    /** Ends the session after the host's record was removed, which the lease's renewals do not show. */
    handleRecordRemoved(): void {
        if (this.#registered) {
            this.#handleLoss("the record was removed");
        }
    }

    /** Ends the session and begins another, since the service may have lost this one. */
    restart(reason: string): void {
        if (this.#lease !== undefined && !this.#closed) {
            this.#handleLoss(reason);
        }
    }

    /** Stops renewing the session without ending it, so that it expires with its lease. */
    abandon(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    /** Ends the session by revoking its lease, which removes the host's record at once. */
    async close(): Promise<void> {
        this.abandon();
        const lease = this.#lease;
        this.#lease = undefined;
        if (lease !== undefined) {
            await this.#options.keyValue.revokeLease(lease);
        }
    }

    #beginStep(): void {
        runInBackground(this.#options.logger, "session in the key-value service", async () => {
            try {
                await this.#performStep();
            }
            catch (error) {
                this.#scheduleStep(RETRY_DELAY_MILLISECONDS);
                throw error;
            }
        });
    }

    async #performStep(): Promise<void> {
        if (this.#lease === undefined) {
            await this.#acquireLease();
        }
        else if (!this.#registered) {
            await this.#register(this.#lease);
        }
        else {
            await this.#renewLease(this.#lease);
        }
    }

    #scheduleStep(milliseconds: number): void {
        if (!this.#closed) {
            clearTimeout(this.#timer);
            this.#timer = setTimeout(() => this.#beginStep(), milliseconds);
        }
    }

    async #acquireLease(): Promise<void> {
        const granted = await this.#options.keyValue.grantLease(LEASE_MILLISECONDS);
        if (granted.isErr()) {
            this.#handleFailure("grant", granted.error);
            return;
        }
        this.#options.onCallOutcome(true);
        this.#lease = granted.value.lease;
        this.#scheduleStep(0);
    }

    async #register(lease: string): Promise<void> {
        const { host, zone, addresses, keyValue, readClocks } = this.#options;
        const sentAt = readClocks();
        const record: HostRegistration = { host, session: lease, zone, addresses };
        const swapped = await keyValue.compareAndSwap(`${HOST_KEY_PREFIX}${host}`, {
            expectedRevision: this.#options.hostRecordRevision(),
            value: JSON.stringify(record),
            lease,
        });
        if (swapped.isErr()) {
            if (swapped.error.kind === "rejected") {
                this.#handleLoss("the lease ended before the host was registered");
            }
            this.#handleFailure("register", swapped.error);
            return;
        }
        this.#options.onCallOutcome(true);
        if (swapped.value.type === "conflict") {
            this.#resolveConflict(lease, swapped.value.current?.value, sentAt);
            return;
        }
        this.#handleRegistered(lease, sentAt, "session began");
    }

    /** Accepts a record with this lease, written by an earlier call whose answer was lost; retries otherwise. */
    #resolveConflict(lease: string, current: string | undefined, sentAt: ClockReading): void {
        if (current?.includes(`"session":${JSON.stringify(lease)}`) === true) {
            this.#handleRegistered(lease, sentAt, "session began");
            return;
        }
        this.#scheduleStep(RETRY_DELAY_MILLISECONDS);
    }

    #handleRegistered(lease: string, sentAt: ClockReading, message: string): void {
        this.#registered = true;
        this.#options.logger.info(message, { session: lease });
        this.#options.onConfirmed(lease, sentAt);
        this.#scheduleStep(this.#options.renewalIntervalMilliseconds());
    }

    async #renewLease(lease: string): Promise<void> {
        const sentAt = this.#options.readClocks();
        const renewed = await this.#options.keyValue.renewLease(lease);
        if (lease !== this.#lease) {
            this.#scheduleStep(0);
            return;
        }
        if (renewed.isOk()) {
            this.#options.onCallOutcome(true);
            this.#options.onConfirmed(lease, sentAt);
            this.#scheduleStep(this.#options.renewalIntervalMilliseconds());
            return;
        }
        if (renewed.error.kind === "rejected") {
            this.#handleLoss("the lease ended");
            this.#scheduleStep(0);
            return;
        }
        this.#handleFailure("renew", renewed.error);
    }

    #handleLoss(reason: string): void {
        this.#options.logger.warn("session lost", { session: this.#lease, reason });
        this.#lease = undefined;
        this.#registered = false;
        this.#options.onLost();
    }

    #handleFailure(call: string, error: PlatformError): void {
        this.#options.logger.debug("session call failed", { call, reason: error.kind, detail: error.message });
        this.#options.onCallOutcome(false);
        if (error.kind === "no-answer") {
            this.#options.onCallTimeout();
        }
        this.#scheduleStep(RETRY_DELAY_MILLISECONDS);
    }
}
