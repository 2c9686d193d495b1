package org.cornelcove.model.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A change of the durable state. Commands are applied in log order on every control host and carry no timestamps. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ProposeConfiguration.class, name = "ProposeConfiguration"),
    @JsonSubTypes.Type(value = SubmitJob.class, name = "SubmitJob"),
    @JsonSubTypes.Type(value = CancelJob.class, name = "CancelJob"),
    @JsonSubTypes.Type(value = RegisterWorker.class, name = "RegisterWorker"),
    @JsonSubTypes.Type(value = RemoveWorker.class, name = "RemoveWorker"),
    @JsonSubTypes.Type(value = PlaceAttempt.class, name = "PlaceAttempt"),
    @JsonSubTypes.Type(value = RecordCheckpoint.class, name = "RecordCheckpoint"),
    @JsonSubTypes.Type(value = EndAttempt.class, name = "EndAttempt"),
    @JsonSubTypes.Type(value = RejectJob.class, name = "RejectJob"),
    @JsonSubTypes.Type(value = RegisterEntry.class, name = "RegisterEntry"),
    @JsonSubTypes.Type(value = AssignTarget.class, name = "AssignTarget"),
    @JsonSubTypes.Type(value = AssignRange.class, name = "AssignRange"),
    @JsonSubTypes.Type(value = ClaimOnce.class, name = "ClaimOnce"),
    @JsonSubTypes.Type(value = ReleaseClaim.class, name = "ReleaseClaim"),
    @JsonSubTypes.Type(value = RecordOutcome.class, name = "RecordOutcome"),
    @JsonSubTypes.Type(value = AbandonClaims.class, name = "AbandonClaims"),
    @JsonSubTypes.Type(value = ExpireClaims.class, name = "ExpireClaims")
})
public sealed interface Command
        permits ProposeConfiguration,
                SubmitJob,
                CancelJob,
                RegisterWorker,
                RemoveWorker,
                PlaceAttempt,
                RecordCheckpoint,
                EndAttempt,
                RejectJob,
                RegisterEntry,
                AssignTarget,
                AssignRange,
                ClaimOnce,
                ReleaseClaim,
                RecordOutcome,
                AbandonClaims,
                ExpireClaims {}
