/**
 * Passes each message of a peer to the part of the host that it concerns.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { type GossipMessage } from "../../gossip/index.js";
import { type HostEngines } from "../engines/index.js";
import { type RateLimiting } from "../rateLimiting.js";
import { type HostStore } from "../store/index.js";
import { type StreamVersions } from "../streamVersions.js";
import { type UpstreamTracker } from "../upstreamTracker.js";
import { type InterCellGossip } from "./interCellGossip.js";
import { type ReportedState } from "./reportedState.js";

/** The parts of a host that receive messages. */
export interface MessageReceivers {
    readonly duties: Pick<EngineDuties, "setHolder">;
    readonly engines: Pick<HostEngines, "adapters" | "agreement" | "memories" | "planner" | "receiveMoveRequest">;
    readonly interCellGossip: Pick<InterCellGossip, "receiveAggregate">;
    readonly rateLimiting: Pick<RateLimiting, "receive">;
    readonly reportedState: ReportedState;
    readonly store: Pick<HostStore, "applyBatch">;
    readonly streamVersions: Pick<StreamVersions, "receive">;
    readonly upstreams: Pick<UpstreamTracker, "recordPromptSentByPeer" | "loads">;
}

/**
 * Handles a message of a peer.
 *
 * @param message The message.
 * @param receivers The parts of this host.
 * @param nowMilliseconds When the message was received.
 *
 * @example
 * ```ts
 * receiveMessage(message, receivers, readClock());
 * ```
 */
export function receiveMessage(message: GossipMessage, receivers: MessageReceivers, nowMilliseconds: number): void {
    const { duties, engines, interCellGossip, rateLimiting, reportedState, store, streamVersions, upstreams } =
        receivers;
    switch (message.type) {
        case "digest":
            reportedState.applyDigest(message);
            break;
        case "changes":
            store.applyBatch(message);
            break;
        case "summary":
            interCellGossip.receiveAggregate(message);
            break;
        case "wish":
            engines.adapters.receiveRequest(message);
            break;
        case "holder":
            duties.setHolder(message.engine, { ...message.holder, revision: message.revision }, nowMilliseconds);
            break;
        case "consent-question":
            engines.agreement.receiveQuestion(message);
            break;
        case "consent-answer":
            engines.agreement.receiveAnswer(message);
            break;
        case "news":
            engines.memories.apply([message.engine]);
            break;
        case "move":
            engines.receiveMoveRequest(message);
            break;
        case "sent":
            upstreams.loads.recordStartedByPeer(message.engine, message.host);
            upstreams.recordPromptSentByPeer(message.engine, message.promptTokens, nowMilliseconds);
            break;
        case "use":
            engines.adapters.recordUse(message);
            break;
        case "permit-request":
        case "permit-grant":
        case "slot-request":
        case "slot-grant":
            rateLimiting.receive(message);
            break;
        case "streams-begun":
        case "stream-question":
            streamVersions.receive(message);
            break;
        case "version-copy":
            engines.planner.recordVersionCopyNeeded(message);
    }
}
