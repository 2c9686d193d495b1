package org.cornelcove.cli.client;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.cornelcove.cli.output.Json;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ErrorView;

/** Parses HTTP answers into view records or failures, and detects answers that do not come from cornelcoved. */
final class Answers {
    private Answers() {}

    static Either<Failure, Object> read(Call call, String endpoint, HttpResponse<byte[]> response) {
        if (response.statusCode() / 100 != 2) {
            return Either.left(failure(endpoint, response));
        }
        if (call.answer() == null) {
            return response.statusCode() == 204
                    ? Either.right("")
                    : Either.left(unexpected(endpoint, "status " + response.statusCode() + " in place of 204"));
        }
        try {
            Object value = Json.MAPPER.readValue(response.body(), call.answer());
            Optional<String> missing = missingIn(value);
            return missing.isEmpty()
                    ? Either.right(value)
                    : Either.left(unexpected(endpoint, "its answer lacks '" + missing.get() + "'"));
        } catch (IOException e) {
            return Either.left(unexpected(endpoint, "its answer is not the JSON expected" + typeOf(response)));
        }
    }

    private static Failure failure(String endpoint, HttpResponse<byte[]> response) {
        try {
            ErrorView error = Json.MAPPER.readValue(response.body(), ErrorView.class);
            if (error == null) {
                return unexpected(endpoint, "status " + response.statusCode() + " with an empty body");
            }
            ErrorKind kind = kindOf(error);
            if (kind == ErrorKind.SERVICE_UNKNOWN) {
                return unexpected(endpoint, "it is a caller listener, not an api listener");
            }
            return new Failure(kind, Text.printable(String.valueOf(error.message())));
        } catch (IOException e) {
            return unexpected(endpoint, "status " + response.statusCode() + typeOf(response));
        }
    }

    private static ErrorKind kindOf(ErrorView error) {
        return Arrays.stream(ErrorKind.values())
                .filter(kind -> kind.number() == error.number())
                .findFirst()
                .orElse(ErrorKind.INTERNAL);
    }

    static Failure unexpected(String endpoint, String reason) {
        return Failure.of(ErrorKind.UNEXPECTED_ANSWER, endpoint, reason);
    }

    private static String typeOf(HttpResponse<byte[]> response) {
        return response.headers()
                .firstValue("Content-Type")
                .map(type -> ", with content of type " + Text.printable(type))
                .orElse("");
    }

    /** Returns the name of a component of the answer that is null, which no view record allows. */
    private static Optional<String> missingIn(Object value) {
        if (value == null) {
            return Optional.of("everything");
        }
        if (value instanceof List<?> list) {
            return list.stream()
                    .map(Answers::missingIn)
                    .flatMap(Optional::stream)
                    .findFirst();
        }
        return Arrays.stream(
                        value.getClass().isRecord() ? value.getClass().getRecordComponents() : new RecordComponent[0])
                .filter(component -> valueOf(component, value) == null)
                .map(RecordComponent::getName)
                .findFirst();
    }

    private static Object valueOf(RecordComponent component, Object value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("record without accessor: " + value.getClass(), e);
        }
    }
}
