package org.cornelcove.model.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** The result of applying a command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Done.class, name = "Done"),
    @JsonSubTypes.Type(value = Refused.class, name = "Refused"),
    @JsonSubTypes.Type(value = ClaimGranted.class, name = "ClaimGranted"),
    @JsonSubTypes.Type(value = ClaimReplayed.class, name = "ClaimReplayed"),
    @JsonSubTypes.Type(value = ClaimInProgress.class, name = "ClaimInProgress"),
    @JsonSubTypes.Type(value = ClaimUnknown.class, name = "ClaimUnknown")
})
public sealed interface Outcome permits Done, Refused, ClaimGranted, ClaimReplayed, ClaimInProgress, ClaimUnknown {}
